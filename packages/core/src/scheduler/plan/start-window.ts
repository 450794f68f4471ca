/**
 * Limits the number of start commands that an owner has in flight. All its
 * calls share one cpu and one link: starts beyond their capacity queue up there
 * and time out. The window shrinks while most answers are late and grows while
 * they are in time, as in TCP congestion control (Jacobson, 1988).
 */

/** The window and the statistics that adjust it. */
export type StartWindow = {
	/** Maximum number of starts in flight. */
	readonly size: number;
	/** Moving average of the share of late answers. */
	readonly lateShare: number;
	/** When the window was last reduced; earlier starts do not reduce it again. */
	readonly reducedAt: number;
	/** Moving average of the answer time, in milliseconds. */
	readonly meanAnswerMs: number;
	/** Answer time without queueing, estimated in milliseconds. */
	readonly unqueuedAnswerMs: number;
};

/** Outcome of a start: an answer, a timeout, or a failure to send it. */
export type StartOutcome = {
	readonly askedAt: number;
	readonly isAnswered: boolean;
	/** Whether it may have left the owner; the default is that it did. */
	readonly wasSent?: boolean;
};

/**
 * Answer time above which an answer is late, in milliseconds: a quarter of the
 * timeout of a start. Executors usually answer within 3 to 20 ms.
 */
const minLateLimitMs = 150;

/**
 * With distant or slow executors an answer is only late above this multiple of
 * the answer time without queueing, since a smaller window cannot speed it up.
 */
const lateFactor = 2;

/** Upper bound of that limit: three quarters of the timeout, in milliseconds. */
const maxLateLimitMs = 450;

/** Weight of one start; a rack that fails may hold a tenth of all executors. */
const weight = 1 / 16;

/** Share of late answers above which the window is halved. */
const halvingShare = 0.5;

/** Minimum window: connections to two executors. */
const minSize = 4;

/** Maximum window: more than 1,000 starts a second need at 150 ms an answer. */
const maxSize = 256;

/** Growth per window of answers in time. */
const growth = 16;

/** Window of a new owner: at 200 messages a second, no start times out. */
export const initialStartWindow: StartWindow = {
	size: 32,
	lateShare: 0,
	reducedAt: Number.NEGATIVE_INFINITY,
	meanAnswerMs: 0,
	unqueuedAnswerMs: 0,
};

const average = (previous: number, next: number): number =>
	previous + weight * (next - previous);

const getUnqueuedMs = (
	{size, unqueuedAnswerMs}: StartWindow,
	tookMs: number,
): number => {
	if (size <= minSize) {
		return unqueuedAnswerMs === 0 ? tookMs : average(unqueuedAnswerMs, tookMs);
	}

	return tookMs < unqueuedAnswerMs
		? average(unqueuedAnswerMs, tookMs)
		: unqueuedAnswerMs;
};

const getLateLimitMs = (unqueuedAnswerMs: number): number =>
	Math.max(
		minLateLimitMs,
		Math.min(maxLateLimitMs, lateFactor * unqueuedAnswerMs),
	);

const grow = (size: number): number =>
	Math.min(maxSize, size + Math.min(1, growth / size));

/** Returns the window after the outcome of a start. */
export const recordStartOutcome = (
	window: StartWindow,
	{askedAt, isAnswered, wasSent = true}: StartOutcome,
	now: number,
): StartWindow => {
	const tookMs = now - askedAt;
	// Without an answer there is no measurement of the answer time.
	const times = isAnswered
		? {
				meanAnswerMs: average(window.meanAnswerMs, tookMs),
				unqueuedAnswerMs: getUnqueuedMs(window, tookMs),
			}
		: {
				meanAnswerMs: window.meanAnswerMs,
				unqueuedAnswerMs: window.unqueuedAnswerMs,
			};
	if (askedAt < window.reducedAt) {
		return {...window, ...times};
	}

	const isUnanswered = wasSent && !isAnswered;
	const isLate =
		isUnanswered || tookMs > getLateLimitMs(times.unqueuedAnswerMs);
	const lateShare = average(window.lateShare, isLate ? 1 : 0);
	if (lateShare > halvingShare) {
		const size = Math.max(minSize, Math.floor(window.size / 2));
		return {size, lateShare: 0, reducedAt: now, ...times};
	}

	const size = isLate ? window.size : grow(window.size);
	return {...window, size, lateShare, ...times};
};

/** Returns how many starts may be sent while `inFlight` are unanswered. */
export const countAvailableStarts = (
	{size}: StartWindow,
	inFlight: number,
): number => Math.max(0, Math.floor(size) - inFlight);

/** Bounds of the number of starts that one executor takes on at once. */
const startsPerTurn = {min: 2, max: 8} as const;

/** Share of the window that one executor may hold while others are free. */
const turnShare = 1 / 8;

/**
 * Returns how many starts one executor takes on at once. Further ones would
 * wait there, and fill the window while other executors have nothing to answer.
 */
export const getStartsPerTurn = ({size}: StartWindow): number =>
	Math.max(
		startsPerTurn.min,
		Math.min(startsPerTurn.max, Math.floor(turnShare * size)),
	);

/** Upper bound of the minimum poll interval, in milliseconds. */
const maxPollIntervalMs = 250;

/**
 * Returns the minimum time between two polls of one executor. The slower the
 * answers, the longer it is, so that one poll lists more ends and fewer calls
 * are needed per task.
 */
export const getMinPollIntervalMs = ({meanAnswerMs}: StartWindow): number =>
	Math.min(maxPollIntervalMs, meanAnswerMs);
