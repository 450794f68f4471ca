/** Results of the calls of callers. */
import {fail, type errors, type Result} from '@gullstand/core';

/**
 * A call's result; its error is a kind of the core's error table. A failed call
 * may state when its caller should return, in whole milliseconds.
 */
export type JobResult<Value> = Result<Value, errors.ErrorKind> & {
	readonly retryAfterMs?: number | undefined;
};

export const unknownJob: JobResult<never> = fail('unknown-job');

export const isUnknown = (result: JobResult<unknown>): boolean =>
	!result.ok && result.error === 'unknown-job';

/** Asks shards for a job one after another until one has it. */
export const askShards = async <Value>(
	shards: readonly string[],
	ask: (shard: string) => Promise<JobResult<Value>>,
): Promise<JobResult<Value>> => {
	for (const shard of shards) {
		const result = await ask(shard);
		if (!isUnknown(result)) {
			return result;
		}
	}

	return unknownJob;
};
