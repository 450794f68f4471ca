/**
 * Call layer that rejects calls while this entry is isolated. A call that finds
 * the confirmation expired, as after a pause of the process, waits for one
 * attempt to confirm it again.
 */
import {createError, type CallLayer} from '../caller/call.js';
import type {Member} from './member.js';

/** Dependencies of the layer. */
export type IsolationLayerDeps = {
	readonly member: Pick<Member, 'mayRoute' | 'confirm'>;
	/** Time until the next attempt to confirm, in milliseconds. */
	readonly retryAfterMs: number;
	/** The clock of `Call.deadline`. */
	readonly now: () => number;
};

/** Resolves to false if there is no result by then. */
const waitAtMost = async (
	result: Promise<boolean>,
	ms: number,
): Promise<boolean> => {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<boolean>((resolve) => {
		timer = setTimeout(resolve, Math.max(0, ms), false);
	});
	try {
		return await Promise.race([result, timeout]);
	} finally {
		clearTimeout(timer);
	}
};

/** Creates the layer. */
export const createIsolationLayer =
	({member, retryAfterMs, now}: IsolationLayerDeps): CallLayer =>
	(next) =>
	async (call) => {
		const isConfirmed =
			member.mayRoute() ||
			(await waitAtMost(member.confirm(), call.deadline - now()));
		return isConfirmed
			? next(call)
			: createError('entry-isolated', 0, retryAfterMs);
	};
