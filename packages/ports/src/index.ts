/** Ports to the platform, with HTTP and in-memory implementations. */
export type * from './ports/table-service.js';
export type * from './ports/object-store.js';
export type * from './ports/instance-list.js';
export type * from './ports/workers.js';
export type * from './ports/row-store.js';
export * from './ports/executors.js';
export type * from './ports/advice.js';
export type * from './ports/machines.js';
export type * from './ports/feeds.js';
export * from './memory/advice.js';
export * from './memory/table-service.js';
export * from './memory/object-store.js';
export * from './memory/instance-list.js';
export * from './memory/workers.js';
export * from './memory/row-store.js';
export * from './memory/task-executors.js';
export * from './memory/task-machines.js';
export * as faults from './faults/index.js';
export * as messages from './wire/messages.js';
export * from './http/connection.js';
export * from './http/renewable-pool.js';
export {
	timeoutKinds,
	type HttpAnswer,
	type HttpFailure,
	type HttpResult,
	type TimeoutKind,
} from './http/exchange.js';
export * from './http/table-service.js';
export * from './http/object-store.js';
export * from './http/instance-list.js';
export * from './http/workers.js';
export * as client from './client/index.js';
