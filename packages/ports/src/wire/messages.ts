/**
 * Schemas of the platform's HTTP messages, shared by client and server.
 * Source: docs/design/platform-port.md.
 */
import * as zod from 'zod';
import type {ListedInstance} from '../ports/instance-list.js';
import type {
	CommitResult,
	JsonValue,
	RangeQuery,
	Row,
	StoreError,
	Write,
} from '../ports/table-service.js';
import type {TaskSpec, WorkerError, WorkerReport} from '../ports/workers.js';

/** Paths of the calls: POST with a JSON body, except for objects. */
export const paths = {
	get: '/v1/table/get',
	range: '/v1/table/range',
	commit: '/v1/table/commit',
	instances: '/v1/instances/list',
	workers: '/v1/workers',
	objects: '/v1/objects',
} as const;

const count = zod.number().int().min(0);

/** Any parsed JSON value; no further validation is needed. */
const json = zod.custom<JsonValue>((value) => value !== undefined);

/** One row. */
export const row: zod.ZodType<Row> = zod.object({
	table: zod.string(),
	key: zod.string(),
	version: count,
	value: json,
	operationId: zod.string(),
});

const precondition = zod.discriminatedUnion('kind', [
	zod.object({kind: zod.literal('any')}),
	zod.object({kind: zod.literal('absent')}),
	zod.object({kind: zod.literal('version'), version: count}),
]);

const target = {table: zod.string(), key: zod.string(), when: precondition};

const write: zod.ZodType<Write> = zod.discriminatedUnion('kind', [
	zod.object({kind: zod.literal('put'), value: json, ...target}),
	zod.object({kind: zod.literal('delete'), ...target}),
	zod.object({kind: zod.literal('check'), ...target}),
]);

/** Body of a get. */
export const getRequest = zod.object({table: zod.string(), key: zod.string()});

/** Body of a range. */
export const rangeRequest: zod.ZodType<RangeQuery> = zod.object({
	table: zod.string(),
	prefix: zod.string(),
	after: zod.string().exactOptional(),
	limit: count,
});

/** Body of a commit. */
export const commitRequest = zod.object({
	writes: zod.array(write),
	operationId: zod.string().min(1),
});

/** Answer to a get. */
export const getAnswer = zod.object({row: row.nullable()});

/** Answer to a range. */
export const rangeAnswer = zod.object({rows: zod.array(row)});

/** Answer to a commit. */
export const commitAnswer: zod.ZodType<CommitResult> = zod.object({
	versions: zod.array(count),
});

/** Refusal by the table service; `current` is null if the row is absent. */
export const storeRefusal = zod
	.discriminatedUnion('kind', [
		zod.object({
			kind: zod.literal('conflict'),
			table: zod.string(),
			key: zod.string(),
			current: row.nullable(),
		}),
		zod.object({kind: zod.literal('unavailable')}),
		zod.object({kind: zod.literal('too-large')}),
	])
	.transform((refusal): StoreError =>
		refusal.kind === 'conflict'
			? {...refusal, current: refusal.current ?? undefined}
			: refusal,
	);

/** Answer to a list. */
export const listAnswer = zod.object({
	instances: zod.array(
		zod.object({
			id: zod.string(),
			role: zod.enum(['entry', 'executor', 'worker']),
			address: zod.string(),
			availabilityZone: zod.string(),
			state: zod.enum(['live', 'leaving']),
			incarnation: zod.string(),
		}) satisfies zod.ZodType<ListedInstance>,
	),
});

/** A task for a worker to run. */
export const taskSpec: zod.ZodType<TaskSpec> = zod.object({
	taskId: zod.string(),
	jobId: zod.string(),
	fencingToken: count,
	leaseMs: zod.number().positive(),
	checkpoint: zod.string().exactOptional(),
	cores: zod.number().min(0),
	memoryMb: zod.number().min(0),
	accelerators: zod.number().min(0),
});

const taskIds = zod.array(zod.string());

/** A call to one worker. */
export const workerRequest = zod.discriminatedUnion('call', [
	zod.object({call: zod.literal('start'), task: taskSpec}),
	zod.object({
		call: zod.literal('renew'),
		taskIds,
		leaseMs: zod.number().positive(),
	}),
	zod.object({call: zod.literal('checkpoint'), taskId: zod.string()}),
	zod.object({
		call: zod.literal('throttle'),
		taskId: zod.string(),
		share: zod.number().min(0).max(1),
	}),
	zod.object({call: zod.literal('stop'), taskIds}),
	zod.object({call: zod.literal('report')}),
	zod.object({call: zod.literal('reboot'), incarnation: zod.string()}),
]);

/** A call to one worker. */
export type WorkerRequest = zod.infer<typeof workerRequest>;

/** A refusal by a worker, or by the platform if it cannot reach one. */
export const workerRefusal: zod.ZodType<WorkerError> = zod.discriminatedUnion(
	'kind',
	[
		zod.object({kind: zod.literal('refused'), reason: zod.string()}),
		zod.object({kind: zod.literal('unreachable')}),
	],
);

const usage = zod.number().min(0);

/** A worker's report. */
export const workerReport: zod.ZodType<WorkerReport> = zod.object({
	worker: zod.string(),
	measuredAt: zod.number(),
	tasks: zod.array(
		zod.object({
			taskId: zod.string(),
			jobId: zod.string(),
			state: zod.enum(['running', 'throttled', 'done', 'failed', 'stopped']),
			coresUsed: usage,
			memoryMbUsed: usage,
			checkpoint: zod.string().exactOptional(),
			reason: zod.string().exactOptional(),
		}),
	),
});
