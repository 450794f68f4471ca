/**
 * Tables of the jobs side and the schemas of their rows. The writers of each
 * row and their preconditions are described in
 * docs/design/platform-programs.md.
 */
import {
	fail,
	succeed,
	type earlierHolders,
	type queueHome,
	type Result,
	scheduler,
	type shardAssignment,
	type shardLease,
} from '@gullstand/core';
import type {RowCheck, RowKey} from '@gullstand/ports';
import * as z from 'zod';

export const tables = {
	/**
	 * Holder of a shard; one row per partition, written when the holder changes.
	 */
	lease: 'lease',
	/** Heartbeats of daemons. */
	daemon: 'daemon',
	/** Accepted jobs and cancellations. */
	job: 'job',
	/** Progress of each job: its ended tasks and occurrences. */
	progress: 'progress',
	/**
	 * Other rows of an owner: its roster, its run times, the reservations of its
	 * executors and the marker of its last flush.
	 */
	owner: 'owner',
	/** Shares of the caps of teams. */
	teamShare: 'team-share',
	/**
	 * Gates of queues by shard. A row of an older release says only that the queue
	 * has jobs in the shard.
	 */
	queueGate: 'queue-history',
	/** The service in which the jobs of a queue are accepted. */
	queueHome: 'queue-home',
	/** What the fleet's holder has learned about demand. */
	fleetForecast: 'fleet-forecast',
	/** The key that seals messages between daemons. */
	secret: 'secret',
} as const;

/** Keys of rows that are the only one of their kind in a partition. */
export const singleKeys = {
	lease: 'lease',
	flush: 'flush',
	roster: 'roster',
	runTimes: 'run-times',
	reservations: 'reservations',
	peerKey: 'peers',
} as const;

/** Partition of rows that belong to no shard. */
export const sharedPart = '';

export const getLeaseKey = (shard: string): RowKey => ({
	table: tables.lease,
	part: shard,
	key: singleKeys.lease,
});

/**
 * Precondition of all writes of a holder: no other daemon has taken over the
 * shard.
 */
export const getLeaseCheck = ({
	shard,
	version,
}: {
	readonly shard: string;
	readonly version: number;
}): RowCheck => ({...getLeaseKey(shard), version});

/**
 * Whether a conflict of a holder's write shows the rows of all its checks, so
 * that a row that is missing there does not exist: the lease row always does.
 */
export const showsAllChecks = (rows: readonly RowKey[]): boolean =>
	rows.some(({table}) => table === tables.lease);

/** Shard whose holder controls moves and maintenance of machines. */
export const fleetShard = 'control/fleet';

/** Shard of a service, which is also the partition of its rows. */
export const getServiceShard = (service: string): string =>
	`service/${service}`;

const servicePrefix = getServiceShard('');

/** Returns the service of a shard; `undefined` for other shards. */
export const parseServiceShard = (shard: string): string | undefined =>
	shard.startsWith(servicePrefix)
		? shard.slice(servicePrefix.length)
		: undefined;

/** Key of the gate of a queue in a shard. */
export const getGateKey = (shard: string, queue: string): RowKey => ({
	table: tables.queueGate,
	part: shard,
	key: queue,
});

/** Key of the home of a queue. */
export const getHomeKey = (queue: string): RowKey => ({
	table: tables.queueHome,
	part: sharedPart,
	key: queue,
});

const cancelSuffix = '/cancelled';

export const getCancelKey = (jobId: string): string =>
	`${jobId}${cancelSuffix}`;

/** Returns the smallest key greater than `key`. */
export const getKeyAfter = (key: string): string => `${key}\0`;

const rangeSeparator = '/';

/** Key of a job's progress, or of that of the range with this first task. */
export const getProgressKey = (
	jobId: string,
	first: number | undefined,
): string =>
	first === undefined ? jobId : `${jobId}${rangeSeparator}${first}`;

/** Returns the job of a row of a range; `undefined` for the job's own row. */
export const parseRangeKey = (key: string): string | undefined => {
	const end = key.indexOf(rangeSeparator);
	return end === -1 ? undefined : key.slice(0, end);
};

/** Parses a key of the job table into the job id and the kind of row. */
export const parseJobKey = (
	key: string,
): {readonly id: string; readonly isCancel: boolean} =>
	key.endsWith(cancelSuffix)
		? {id: key.slice(0, -cancelSuffix.length), isCancel: true}
		: {id: key, isCancel: false};

const holderSchema = z.object({entry: z.string(), incarnation: z.string()});

/** Lease of a shard, with the address of its holder. */
export type LeaseRow = shardLease.ShardLease &
	earlierHolders.EarlierHolders & {
		readonly address: string;
		/** Token of the holder before; absent in rows of older releases. */
		readonly previousToken?: number | undefined;
	};

export const leaseSchema: z.ZodType<LeaseRow> = z.object({
	shard: z.string(),
	holder: holderSchema.nullable(),
	token: z.int().min(0),
	address: z.string(),
	previous: z.enum(['none', 'released', 'replaced', 'silent']).optional(),
	earlierGrantsUntilMs: z.number().optional(),
	previousToken: z.int().min(0).optional(),
});

/** A daemon's heartbeat. */
export type DaemonRow = {
	readonly incarnation: string;
	/** Address and port of its peer channel. */
	readonly address: string;
	/** Sequence number; grows with each heartbeat. */
	readonly beat: number;
	/** Capacity of its machine; absent in rows of older releases. */
	readonly capacity?: shardAssignment.EntryCapacity | undefined;
};

const capacitySchema: z.ZodType<shardAssignment.EntryCapacity> = z.object({
	cores: z.number().min(0),
	linkMbps: z.number().min(0),
});

export const daemonSchema: z.ZodType<DaemonRow> = z.object({
	incarnation: z.string(),
	address: z.string(),
	beat: z.int().min(0),
	capacity: capacitySchema.optional(),
});

const resourcesSchema: z.ZodType<scheduler.Resources> = z.object({
	cpuMillis: z.int().min(0),
	memoryMb: z.int().min(0),
	accelerators: z.int().min(0),
});

const optional = <Value extends z.ZodType>(schema: Value) =>
	schema.optional().transform((value) => value);

const stepSchema = z.object({
	count: z.int().min(1),
	resources: resourcesSchema,
	estimateMs: z.number().min(0),
	after: z.array(z.int().min(0)),
	canCheckpoint: z.boolean(),
	isGang: z.boolean(),
	needsSameRack: z.boolean(),
	requiredLabel: optional(z.string()),
	preferredRack: optional(z.string()),
	maxPerExecutor: optional(z.int().min(1)),
	allowsCopies: z.boolean(),
	isLongRunning: z.boolean(),
	image: optional(z.string()),
	targetTailMs: optional(z.number().min(0)),
	fillsIdleCapacity: z.boolean(),
	mayMiss: optional(z.int().min(0)),
});

const acceptedJobSchema = z.object({
	id: z.string(),
	policy: z.object({
		queue: z.string(),
		priority: z.int(),
		maxAttempts: z.int().min(1),
		stretch: z.number(),
		targetLatencyMs: z.number(),
		needsAdvice: z.boolean().default(false),
		adviceCost: optional(
			z.object({decisionMs: z.number(), eachMs: z.number()}),
		),
	}),
	spec: z.object({
		payload: z.string(),
		steps: z.array(stepSchema).min(1),
		schedule: optional(
			z.object({
				times: z.int().min(1),
				startAtEpochMs: z.number(),
				intervalMs: z.number(),
			}),
		),
	}),
	team: optional(z.string()),
	acceptedAtEpochMs: z.number(),
});

export const jobSchema =
	acceptedJobSchema as unknown as z.ZodType<scheduler.AcceptedJob>;

const crashSchema = z.object({
	run: z.int(),
	survivedMs: z.number(),
	wasIsolated: z.boolean(),
	chance: z.number().min(0).max(1).optional(),
	isDoubtful: z.boolean().optional(),
	possiblyOn: z
		.object({
			executorId: z.string(),
			startedAtEpochMs: z.number().optional(),
			clockMs: z.number().optional(),
			address: z.string().optional(),
		})
		.optional(),
	// One that a later release adds leaves the crash open.
	sign: z
		.string()
		.optional()
		.transform((sign) =>
			Object.values(scheduler.lossSigns).find((each) => each === sign),
		),
	executorId: z.string().optional(),
	wasAnswered: z.boolean().optional(),
});

const taskProgressSchema: z.ZodType<scheduler.TaskProgress> = z.object({
	failures: z.int().min(0),
	failedRuns: z.array(z.int()).optional(),
	crashes: z.array(crashSchema).optional(),
	checkpoint: z.string().optional(),
	checkpointRun: z.int().optional(),
});

/** Schema of the progress of a range of tasks. */
export const rangeSchema: z.ZodType<scheduler.RangeProgress> = z.object({
	first: z.int().min(0),
	size: z.int().min(1),
	done: z.string(),
	tasks: z.record(z.string(), taskProgressSchema),
});

export const progressSchema: z.ZodType<scheduler.JobProgress> = z.object({
	end: z.enum(['completed', 'failed', 'cancelled']).optional(),
	doneOccurrences: z.int().min(0),
	nextOccurrence: z.int().min(0),
	occurrences: z.array(
		z.object({
			number: z.int().min(0),
			done: z.array(z.string()),
			tasks: z.record(z.string(), taskProgressSchema),
		}),
	),
});

const listedExecutorSchema = z.object({
	id: z.string(),
	startedAtEpochMs: optional(z.int()),
	service: z.string(),
	address: z.string(),
	availabilityZone: z.string(),
	capacity: resourcesSchema,
	labels: z.array(z.string()),
	isDraining: z.boolean(),
	remainingMs: optional(z.number()),
});

export type RosterRow = scheduler.ListedExecutor & {
	/**
	 * When it was marked suspected, after which no leases are granted, by the
	 * store's clock.
	 */
	readonly darkSinceMs?: number | undefined;
	/** Fencing token of the owner that marked it. */
	readonly markedBy?: number | undefined;
	/**
	 * When the leases have expired that commands for earlier incarnations may have
	 * brought, by the store's clock; absent if there are none.
	 */
	readonly strayLeasesUntilMs?: number | undefined;
	/**
	 * Starts without an answer: the task, and when they were sent by the store's
	 * clock; absent if there are none.
	 */
	readonly unansweredStarts?:
		ReadonlyArray<readonly [taskId: string, sentAtMs: number]> | undefined;
};

/** Schema of the roster: the executors that may run tasks of a service. */
export const rosterSchema = z.array(
	listedExecutorSchema.extend({
		darkSinceMs: z.number().optional(),
		markedBy: z.number().optional(),
		strayLeasesUntilMs: z.number().optional(),
		unansweredStarts: z.array(z.tuple([z.string(), z.number()])).optional(),
	}),
) as unknown as z.ZodType<readonly RosterRow[]>;

/**
 * Schema of the reservations: their ends by executor id, in milliseconds of the
 * store's clock.
 */
export const reservationsSchema: z.ZodType<Readonly<Record<string, number>>> =
	z.record(z.string(), z.number());

const storedRegressionSchema = z
	.array(z.number())
	.min(scheduler.storedRegressionLength);

/** Schema of the run times that an owner has learnt. */
export const runTimesSchema: z.ZodType<scheduler.StoredRunTimes> = z.object({
	format: z.literal(1),
	shapes: z.array(
		z.object({
			queue: z.string(),
			image: optional(z.string()),
			run: storedRegressionSchema,
			step: storedRegressionSchema,
		}),
	),
});

/** Schema of the home of a queue. */
export const queueHomeSchema: z.ZodType<queueHome.QueueHome> = z.object({
	configuration: z.int().min(0),
	service: z.string(),
	services: z.array(z.string()),
});

/** Schema of a queue's gate, with what its home was when it was written. */
export const queueGateSchema = z.object({
	isOpen: z.boolean(),
	configuration: z.int().min(0),
	services: z.array(z.string()),
});

/** Schema of the key that seals messages between daemons. */
export const peerKeySchema = z.object({
	keyHex: z.string().regex(/^[\da-f]{64}$/v),
});

/** Reason why a row cannot be decoded. */
export type RowFault = {readonly problem: string};

/** Maximum length of a reported problem, as a row may have many faults. */
const maxProblemLength = 300;

/**
 * Decodes the value of a row; fails on text that is not JSON or not of the
 * schema.
 */
export const decodeRow = <Value>(
	schema: z.ZodType<Value>,
	text: string,
): Result<Value, RowFault> => {
	if (text === '') {
		return fail({problem: 'empty, or bytes that cannot be read'});
	}

	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch {
		return fail({problem: 'not JSON'});
	}

	const parsed = schema.safeParse(json);
	return parsed.success
		? succeed(parsed.data)
		: fail({
				problem: z.prettifyError(parsed.error).slice(0, maxProblemLength),
			});
};
