/**
 * Follows a feed: reads it whole, then its changes, and reads it whole again
 * when the history is gone. Every call is bounded, so that a connection that
 * has gone silent costs one time-out.
 */
import type {Feed, FeedBatch, RowStoreError} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {getMoment, type Clock, type Moment} from '../clock.js';
import {createPause} from '../pause.js';

/** Times of a follower, in milliseconds. */
export type FollowPeriods = {
	/** How long the store waits for a change before it answers. */
	readonly waitMs: number;
	/** Pause between an answer and the next call. */
	readonly pauseMs: number;
	/** Bound on a call, beyond the time that the store waits. */
	readonly timeoutMs: number;
	/** Pause after a call that failed. */
	readonly retryMs: number;
};

/** What a follower needs. */
export type FollowerDeps<Value> = {
	readonly name: string;
	readonly feed: Feed<Value>;
	readonly periods: FollowPeriods;
	/** Times that are others for now; asked before each call and pause. */
	readonly getOverrides?: () => Partial<FollowPeriods>;
	/** Where to begin; absent to read the feed whole first. */
	readonly startVersion?: number;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** All entries; those missing are gone. */
	readonly onSnapshot: (batch: FeedBatch<Value>) => void;
	readonly onChanges: (batch: FeedBatch<Value>) => void;
	/** An answer without changes, for whom it says something that there are none. */
	readonly onUnchanged?: (batch: FeedBatch<Value>) => void;
};

/** A follower at work. */
export type FeedFollower = {
	/** An error of the follower's own is reported; it then stands still. */
	readonly start: (reportFailure: ReportFailure) => void;
	readonly stop: () => void;
	/** When the last call that succeeded was sent. */
	readonly getConfirmedAt: () => Moment | undefined;
	/** Whether the latest call failed. */
	readonly isLost: () => boolean;
	/** Ends the pause that is under way. */
	readonly skipPause: () => void;
};

type State = {
	version: number | undefined;
	confirmed: Moment | undefined;
	isLost: boolean;
	isStopped: boolean;
};

/** Creates a follower; it begins with `start`. */
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

	const noteFailure = (error: RowStoreError) => {
		if (error.kind === 'history-lost') {
			logger.info('feed is read anew', {feed: name, version: state.version});
			state.version = undefined;
			return;
		}

		if (!state.isLost) {
			logger.warn('feed lost', {
				feed: name,
				reason: error.kind,
				// Silence, or an answer that was cut off: their mends differ.
				receivedBytes:
					error.kind === 'timeout' ? error.receivedBytes : undefined,
			});
		}

		state.isLost = true;
	};

	const noteSuccess = (sent: Moment) => {
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
			noteFailure(result.error);
			await pause.wait(periods.retryMs);
			return;
		}

		noteSuccess(sent);
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
