/** Ports and clients for the platform. */
export type * from './ports/table-service.js';
export type * from './ports/object-store.js';
export type * from './ports/instance-list.js';
export type * from './ports/workers.js';
