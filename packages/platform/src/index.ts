/** Ports and clients for the platform. */
export type * from './ports/table-service.js';
export type * from './ports/object-store.js';
export type * from './ports/instance-list.js';
export type * from './ports/workers.js';
export * from './memory/table-service.js';
export * from './memory/object-store.js';
export * from './memory/instance-list.js';
export * from './memory/workers.js';
