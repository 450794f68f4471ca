/** Methods of the peer channel on the jobs side and schemas of their parameters. */
import {scheduler} from '@gullstand/core';
import type {ChangedRow} from '@gullstand/ports';
import * as z from 'zod';
import type {CancelOutcome} from './entry/cancel-outcome.js';
import type {ConfirmedVersion} from './entry/configuration-confirmation.js';
import type {SubmitOutcome} from './entry/submissions.js';
import type {JobStateAnswer} from './owner/owner-runner.js';
import {jobSchema} from './rows/tables.js';

/** Parameters and result of each method. */
export type JobPeerMethods = {
	/** Sends job rows that were just stored to the shard's owner. */
	readonly noteRows: {
		readonly params: {
			readonly shard: string;
			readonly rows: readonly ChangedRow[];
		};
		readonly result: {readonly isOwner: boolean};
	};
	/** Reads the state of a job from the shard's owner. */
	readonly readJob: {
		readonly params: {
			readonly shard: string;
			readonly queue: string;
			readonly id: string;
		};
		readonly result: JobStateAnswer;
	};
	/** Counts the pending jobs of a queue in a shard. */
	readonly countPending: {
		readonly params: {readonly shard: string; readonly queue: string};
		/** Absent if the receiver is not the owner. */
		readonly result: {readonly pending?: number | undefined};
	};
	/** Stores a job on behalf of another entry. */
	readonly submitJob: {
		readonly params: {
			readonly shard: string;
			readonly job: scheduler.AcceptedJob;
			readonly timeoutMs: number;
			/**
			 * Whether the owner may answer `rejected`; absent from entries of older
			 * releases and after a try without an answer.
			 */
			readonly mayBeRejected?: boolean | undefined;
			/**
			 * Whether the caller knows the outcome `not-storable`; absent from
			 * entries of older releases, which get `not-stored`.
			 */
			readonly knowsNotStorable?: boolean | undefined;
			/**
			 * Whether the caller knows the outcome `cancelled`; absent from entries
			 * of older releases, which get `conflict`.
			 */
			readonly knowsCancelled?: boolean | undefined;
			/**
			 * Version of the configuration that names the shard's service; absent
			 * from entries of older releases, which do not know the answer `moved`.
			 */
			readonly configuration?: number | undefined;
		};
		readonly result: SubmitOutcome;
	};
	/** Cancels a job on behalf of another entry. */
	readonly cancelJob: {
		readonly params: {
			readonly queue: string;
			readonly id: string;
			readonly timeoutMs: number;
			/** Team whose jobs may be cancelled; absent for all. */
			readonly team?: string | undefined;
		};
		readonly result: {readonly outcome: CancelOutcome};
	};
	/**
	 * Asks the owner to evacuate an executor; repeated until it is clear. Owners
	 * of older releases answer `clear` without `remainingMs`.
	 */
	readonly evacuate: {
		readonly params: {
			readonly shard: string;
			readonly executorId: string;
		} & scheduler.EvacuationRequest;
		readonly result: {readonly state?: scheduler.EvacuationState | undefined};
	};
	/** Lets the owner use an executor again that will not be commanded. */
	readonly releaseEvacuation: {
		readonly params: {
			readonly shard: string;
			readonly executorId: string;
			readonly order: scheduler.RequestOrder;
		};
		readonly result: Record<string, never>;
	};
	/** Reads the load of a service from the shard's owner. */
	readonly readLoad: {
		readonly params: {readonly shard: string};
		readonly result: {readonly load?: scheduler.ServiceLoad | undefined};
	};
	/** Reports a takeover under a higher token; returns the receiver's incarnation. */
	readonly depose: {
		readonly params: {readonly shard: string; readonly token: number};
		readonly result: {readonly incarnation: string};
	};
	/** Asks which configuration is the latest by the receiver's reads of it. */
	readonly confirmConfiguration: {
		readonly params: Record<string, never>;
		readonly result: {readonly confirmed?: ConfirmedVersion | undefined};
	};
	/** Reports that a shard was released and may be claimed. */
	readonly shardReleased: {
		readonly params: {readonly shard: string};
		readonly result: Record<string, never>;
	};
	/** Reports that a daemon is stopping and will claim no shards. */
	readonly daemonLeaving: {
		readonly params: {readonly entry: string; readonly incarnation: string};
		readonly result: Record<string, never>;
	};
};

const shard = z.string();

/** One that only later releases know counts as absent. */
const urgency = z
	.unknown()
	.optional()
	.transform((value) =>
		Object.values(scheduler.evacuationUrgencies).find((each) => each === value),
	);

const order = z.object({token: z.number(), at: z.number()});

const rowSchema = z.object({
	table: z.string(),
	part: z.string(),
	key: z.string(),
	version: z.number(),
	value: z.string().optional(),
});

/** Schemas of each method's parameters. */
export const jobPeerSchemas = {
	noteRows: z.object({shard, rows: z.array(rowSchema)}) as unknown as z.ZodType<
		JobPeerMethods['noteRows']['params']
	>,
	readJob: z.object({shard, queue: z.string(), id: z.string()}),
	countPending: z.object({shard, queue: z.string()}),
	submitJob: z.object({
		shard,
		job: jobSchema,
		timeoutMs: z.number().min(0),
		mayBeRejected: z.boolean().optional(),
		knowsNotStorable: z.boolean().optional(),
		knowsCancelled: z.boolean().optional(),
		configuration: z.int().min(0).optional(),
	}),
	cancelJob: z.object({
		queue: z.string(),
		id: z.string(),
		timeoutMs: z.number().min(0),
		team: z.string().optional(),
	}),
	evacuate: z.object({
		shard,
		executorId: z.string(),
		patienceMs: z.number().min(0),
		claimant: z.string().optional(),
		urgency,
		order: order.optional(),
	}),
	releaseEvacuation: z.object({shard, executorId: z.string(), order}),
	readLoad: z.object({shard}),
	depose: z.object({shard, token: z.int().min(0)}),
	confirmConfiguration: z.object({}),
	shardReleased: z.object({shard}),
	daemonLeaving: z.object({entry: z.string(), incarnation: z.string()}),
} as const;
