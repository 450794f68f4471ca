/**
 * Follows a feed: reads all entries, then changes, and all entries again if the
 * feed no longer keeps the changes since the last read. Every call has a
 * time-out, so that a dead connection delays the follower by one time-out.
 */
import type {Feed, FeedBatch, RowStoreError} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {getMoment, type Clock, type Moment} from '../clock.js';
import {createPause} from '../pause.js';
import {describeStoreError} from './store-error.js';

/** Intervals and time-outs of a follower, in milliseconds. */
export type FollowPeriods = {
	/** How long the store waits for a change before it answers. */
	readonly waitMs: number;
	/** Pause between an answer and the next call. */
	readonly pauseMs: number;
	/** Time-out of a call, in addition to `waitMs`. */
	readonly timeoutMs: number;
	/** Pause after a call that failed. */
	readonly retryMs: number;
};

export type FollowerDeps<Value> = {
	readonly name: string;
	readonly feed: Feed<Value>;
	readonly periods: FollowPeriods;
	/**
	 * Returns temporary overrides of `periods`; called before each call and
	 * pause.
	 */
	readonly getOverrides?: () => Partial<FollowPeriods>;
	/** Version after which to read changes; absent to read all entries first. */
	readonly startVersion?: number;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called with all entries; an entry that is missing was removed. */
	readonly onSnapshot: (batch: FeedBatch<Value>) => void;
	readonly onChanges: (batch: FeedBatch<Value>) => void;
	/** Called with an answer that has no changes. */
	readonly onUnchanged?: (batch: FeedBatch<Value>) => void;
};

export type FeedFollower = {
	/**
	 * Starts following; an exception of it or its callbacks is reported and ends
	 * it.
	 */
	readonly start: (reportFailure: ReportFailure) => void;
	readonly stop: () => void;
	/** When the last successful call was sent. */
	readonly getConfirmedAt: () => Moment | undefined;
	/** Whether the latest call failed. */
	readonly isLost: () => boolean;
	/** Ends the current pause. */
	readonly skipPause: () => void;
};

type State = {
	version: number | undefined;
	confirmed: Moment | undefined;
	isLost: boolean;
	isStopped: boolean;
};

/** Creates a follower; it is idle until `start` is called. */
export const createFeedFollower = <Value>(
	deps: FollowerDeps<Value>,
): FeedFollower => {
	const {name, feed, clock, logger} = deps;
	const getPeriods = (): FollowPeriods => ({
		...deps.periods,
		...deps.getOverrides?.(),
	});
	const state: State = {
		version: deps.startVersion,
		confirmed: undefined,
		isLost: false,
		isStopped: false,
	};
	const pause = createPause();

	const handleFailure = (error: RowStoreError) => {
		if (error.kind === 'history-lost') {
			logger.info('feed history lost; reading all entries', {
				feed: name,
				version: state.version,
			});
			state.version = undefined;
			return;
		}

		if (!state.isLost) {
			logger.warn('feed lost', {
				feed: name,
				...describeStoreError(error),
			});
		}

		state.isLost = true;
		if (error.kind === 'rejected') {
			// The same call never succeeds; a read of all entries may.
			state.version = undefined;
		}
	};

	const handleSuccess = (sent: Moment) => {
		if (state.isLost) {
			logger.info('feed regained', {
				feed: name,
				awayMs: state.confirmed && Math.round(sent.at - state.confirmed.at),
			});
		}

		state.isLost = false;
		state.confirmed = sent;
	};

	const readOnce = async () => {
		const {version} = state;
		const periods = getPeriods();
		const sent = getMoment(clock);
		const result =
			version === undefined
				? await feed.readAll(periods.timeoutMs)
				: await feed.readChanges(
						version,
						periods.waitMs,
						periods.waitMs + periods.timeoutMs,
					);
		if (state.isStopped) {
			return;
		}

		if (!result.ok) {
			handleFailure(result.error);
			await pause.wait(periods.retryMs);
			return;
		}

		handleSuccess(sent);
		state.version = result.value.version;
		if (version === undefined) {
			deps.onSnapshot(result.value);
		} else if (result.value.entries.length > 0) {
			deps.onChanges(result.value);
		} else {
			deps.onUnchanged?.(result.value);
		}

		const {pauseMs} = getPeriods();
		if (pauseMs > 0) {
			await pause.wait(pauseMs);
		}
	};

	const run = async () => {
		while (!state.isStopped) {
			await readOnce();
		}
	};

	return {
		start(reportFailure) {
			state.isStopped = false;
			runInBackground(run, reportFailure);
		},
		stop() {
			state.isStopped = true;
			pause.end();
		},
		getConfirmedAt: () => state.confirmed,
		isLost: () => state.isLost,
		skipPause() {
			pause.end();
		},
	};
};
