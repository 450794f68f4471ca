/** Port to the placement advice service, which names executors for a step. */
import type {scheduler} from '@gullstand/core';

/** The advice service. A call ends within `timeoutMs` milliseconds. */
export type AdviceService = {
	/** Resolves to undefined if no answer came or the service is busy. */
	readonly requestAdvice: (
		request: scheduler.AdviceRequest,
		timeoutMs: number,
	) => Promise<scheduler.Advice | undefined>;
};
