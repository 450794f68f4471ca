/** Methods of the peer channel on the jobs side, and the forms they take. */
import type {scheduler} from '@gullstand/core';
import type {ChangedRow} from '@gullstand/ports';
import * as z from 'zod';
import type {CancelOutcome} from './entry/cancel-outcome.js';
import type {SubmitOutcome} from './entry/submissions.js';
import type {JobStateAnswer} from './owner/owner-runner.js';
import {jobSchema} from './rows/tables.js';

/** What each method takes and answers. */
export type JobPeerMethods = {
	/** Rows of the job table that were just stored, for the shard's owner. */
	readonly noteRows: {
		readonly params: {
			readonly shard: string;
			readonly rows: readonly ChangedRow[];
		};
		readonly result: {readonly isOwner: boolean};
	};
	readonly readJob: {
		readonly params: {
			readonly shard: string;
			readonly queue: string;
			readonly id: string;
		};
		readonly result: JobStateAnswer;
	};
	readonly countPending: {
		readonly params: {readonly shard: string; readonly queue: string};
		/** Absent if the receiver is not the owner. */
		readonly result: {readonly pending?: number | undefined};
	};
	/** Stores a job for an entry that the store does not serve. */
	readonly submitJob: {
		readonly params: {
			readonly shard: string;
			readonly job: scheduler.AcceptedJob;
			readonly timeoutMs: number;
		};
		readonly result: SubmitOutcome;
	};
	/** Cancels a job for an entry that the store does not serve. */
	readonly cancelJob: {
		readonly params: {
			readonly queue: string;
			readonly id: string;
			readonly timeoutMs: number;
		};
		readonly result: {readonly outcome: CancelOutcome};
	};
	/** Asks the owner to empty an executor; asked again until it is clear. */
	readonly evacuate: {
		readonly params: {
			readonly shard: string;
			readonly executorId: string;
			readonly patienceMs: number;
		};
		readonly result: {readonly state?: scheduler.EvacuationState | undefined};
	};
	readonly readLoad: {
		readonly params: {readonly shard: string};
		readonly result: {readonly load?: scheduler.ServiceLoad | undefined};
	};
	/** The platform says that an executor's life is over. */
	readonly noteGone: {
		readonly params: {readonly shard: string; readonly executorId: string};
		readonly result: Record<string, never>;
	};
	/** A shard was taken over under a higher token; answers the own life. */
	readonly depose: {
		readonly params: {readonly shard: string; readonly token: number};
		readonly result: {readonly incarnation: string};
	};
	/** A shard has been given back and may be claimed. */
	readonly shardReleased: {
		readonly params: {readonly shard: string};
		readonly result: Record<string, never>;
	};
	/** A daemon is stopping: no shard should wait for it to claim. */
	readonly daemonLeaving: {
		readonly params: {readonly entry: string; readonly incarnation: string};
		readonly result: Record<string, never>;
	};
};

const shard = z.string();

const rowSchema = z.object({
	table: z.string(),
	part: z.string(),
	key: z.string(),
	version: z.number(),
	value: z.string().optional(),
});

/** Forms of what each method receives. */
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
	}),
	cancelJob: z.object({
		queue: z.string(),
		id: z.string(),
		timeoutMs: z.number().min(0),
	}),
	evacuate: z.object({
		shard,
		executorId: z.string(),
		patienceMs: z.number().min(0),
	}),
	readLoad: z.object({shard}),
	noteGone: z.object({shard, executorId: z.string()}),
	depose: z.object({shard, token: z.int().min(0)}),
	shardReleased: z.object({shard}),
	daemonLeaving: z.object({entry: z.string(), incarnation: z.string()}),
} as const;
