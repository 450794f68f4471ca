/** Port to the placement advice service, which names executors for a step. */
import type {scheduler} from '@gullstand/core';

/** What is asked: a step, and executors by id. */
export type AdviceQuery = Pick<
	scheduler.AdviceRequest,
	'stepId' | 'executorIds'
>;

/** Answer to a request for advice. */
export type AdviceAnswer =
	| {readonly kind: 'advice'; readonly advice: scheduler.Advice}
	/** Refused at once: too many calls of this machine wait there. */
	| {readonly kind: 'busy'}
	/** No answer in time, or one that cannot be read. */
	| {readonly kind: 'no-answer'};

/**
 * The advice service. It handles one call at a time for each calling machine, and
 * also those that were given up. A call ends within `timeoutMs` milliseconds.
 */
export type AdviceService = {
	readonly requestAdvice: (
		query: AdviceQuery,
		timeoutMs: number,
	) => Promise<AdviceAnswer>;
};
