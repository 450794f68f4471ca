/**
 * How many starts an owner may have under way at once. All its calls share one
 * processor and one link; what is sent beyond their rate only waits there, and
 * a start that waits longer than its caller does is sent in vain. The window
 * shrinks while most answers come late and grows while they come in time, as
 * in TCP's congestion control (Jacobson, 1988).
 */

/** A window and what it has seen. */
export type StartWindow = {
	/** Starts that may be under way. */
	readonly size: number;
	/** Share of late answers, later ones weighing more. */
	readonly lateShare: number;
	/** Answers to starts that were sent earlier tell nothing new. */
	readonly reducedAt: number;
	/** How long answers take of late, in milliseconds. */
	readonly meanAnswerMs: number;
	/** How long they took while the window was at its least, so without a queue. */
	readonly unqueuedAnswerMs: number;
};

/** The end of a start: an answer, or the time-out. */
export type StartOutcome = {
	readonly askedAt: number;
	readonly isAnswered: boolean;
};

/**
 * A later answer counts as late, in milliseconds: a quarter of the time that
 * a start is waited for. Executors answer within 3 to 20 ms.
 */
const lateMs = 150;

/**
 * Where answers are slow without a queue, from executors that are far or slow,
 * only those count as late that take so many times as long, up to the bound
 * below: a smaller window makes no such answer quicker.
 */
const lateFactor = 2;

/** Three quarters of the time that a start is waited for, in milliseconds. */
const mostLateMs = 450;

/** One start in sixteen says little: a dark rack holds a tenth of all. */
const weight = 1 / 16;

/** Share of late answers at which the window is halved. */
const cutShare = 0.5;

/** Starts that are always allowed: two executors' worth of connections. */
const leastSize = 4;

/** What 1,000 starts a second need with answers after 150 ms, and more. */
const mostSize = 256;

/** Growth while answers come in time, in starts for each window of them. */
const growth = 16;

/**
 * The window of a new owner: over 200 messages a second its answers all come
 * within the time that a start is waited for.
 */
export const initialStartWindow: StartWindow = {
	size: 32,
	lateShare: 0,
	reducedAt: Number.NEGATIVE_INFINITY,
	meanAnswerMs: 0,
	unqueuedAnswerMs: 0,
};

const blend = (before: number, next: number): number =>
	before + weight * (next - before);

const getUnqueuedMs = (
	{size, unqueuedAnswerMs}: StartWindow,
	tookMs: number,
): number => {
	if (size <= leastSize) {
		return unqueuedAnswerMs === 0 ? tookMs : blend(unqueuedAnswerMs, tookMs);
	}

	return tookMs < unqueuedAnswerMs
		? blend(unqueuedAnswerMs, tookMs)
		: unqueuedAnswerMs;
};

const getLimitMs = (unqueuedMs: number): number =>
	Math.max(lateMs, Math.min(mostLateMs, lateFactor * unqueuedMs));

const grow = (size: number): number =>
	Math.min(mostSize, size + Math.min(1, growth / size));

/** Takes in the end of a start. */
export const recordStartOutcome = (
	window: StartWindow,
	{askedAt, isAnswered}: StartOutcome,
	now: number,
): StartWindow => {
	const tookMs = now - askedAt;
	// A dark executor says nothing of how long answers take.
	const times = isAnswered
		? {
				meanAnswerMs: blend(window.meanAnswerMs, tookMs),
				unqueuedAnswerMs: getUnqueuedMs(window, tookMs),
			}
		: {
				meanAnswerMs: window.meanAnswerMs,
				unqueuedAnswerMs: window.unqueuedAnswerMs,
			};
	if (askedAt < window.reducedAt) {
		return {...window, ...times};
	}

	const isLate = !isAnswered || tookMs > getLimitMs(times.unqueuedAnswerMs);
	const lateShare = blend(window.lateShare, isLate ? 1 : 0);
	if (lateShare > cutShare) {
		const size = Math.max(leastSize, Math.floor(window.size / 2));
		return {size, lateShare: 0, reducedAt: now, ...times};
	}

	const size = isLate ? window.size : grow(window.size);
	return {...window, size, lateShare, ...times};
};

/** How many starts may be ordered now, with so many under way. */
export const countAvailableStarts = (
	{size}: StartWindow,
	underWay: number,
): number => Math.max(0, Math.floor(size) - underWay);

/** Most that a look waits for others to end too, in milliseconds. */
const mostLookGapMs = 250;

/**
 * Least time between two looks at one executor. Ends that come meanwhile are
 * listed together, so that an owner whose answers are slow makes fewer calls
 * for each task; one that is not waits for nothing.
 */
export const getMinPollIntervalMs = ({meanAnswerMs}: StartWindow): number =>
	Math.min(mostLookGapMs, meanAnswerMs);
