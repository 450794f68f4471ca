/** Port to the service that names executors for a step. */
import type {scheduler} from '@gullstand/core';

/** The service. A call ends within the given time, in milliseconds. */
export type AdviceService = {
	/** Absent if no answer came, or the service is busy. */
	readonly requestAdvice: (
		request: scheduler.AdviceRequest,
		timeoutMs: number,
	) => Promise<scheduler.Advice | undefined>;
};
