/**
 * Runs a daemon as a process: its listeners for readiness, callers and metrics,
 * its signal handlers, and its graceful stop.
 */
import process from 'node:process';
import type {ReportFailure} from '../supervisor/supervisor.js';
import {createListener, type FetchHandler} from '../http/listener.js';
import type {Logger} from '../log/logger.js';
import {exitCodes} from '../run-process.js';
import {delay, type Clock} from './clock.js';
import type {JobDaemon} from './job-daemon.js';

export type ListenAddress = {readonly address: string; readonly port: number};

export type EntryDeps = {
	readonly daemon: JobDaemon;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly listen: {
		readonly callers: ListenAddress;
		readonly ready: ListenAddress;
		readonly metrics: ListenAddress;
	};
	readonly callers: FetchHandler;
	/** Time from the stop signal to the exit of the process, in milliseconds. */
	readonly graceMs: number;
	/** Resolves once all log lines are written out. */
	readonly flushLog: () => Promise<void>;
	/** Reloads the settings. */
	readonly reload: () => Promise<void>;
};

export type Entry = {
	readonly start: () => Promise<void>;
	readonly stop: (code: number) => Promise<void>;
	readonly isLeaving: () => boolean;
};

/**
 * Share of the grace period in which callers are still served: the balancer
 * sends new ones until it has seen two failed readiness checks, a second apart.
 */
const servingShare = 0.5;

/** Share of the grace period after which requests in flight are aborted. */
const cutOffShare = 0.85;

/** Share of the grace period after which the process exits in any case. */
const exitShare = 0.95;

const limits = {
	maxHeaderBytes: 16_384,
	headersTimeoutMs: 5000,
	requestTimeoutMs: 30_000,
	maxConnections: 3000,
} as const;

const statuses = {ready: 200, notReady: 503} as const;

export const createEntry = (deps: EntryDeps): Entry => {
	const {daemon, clock, logger, listen, graceMs} = deps;
	let isLeaving = false;

	const answerReady: FetchHandler = () =>
		new Response(null, {
			status:
				daemon.isReady() && !isLeaving ? statuses.ready : statuses.notReady,
		});
	const answerMetrics: FetchHandler = () =>
		new Response(daemon.metrics.formatText(), {
			headers: {'content-type': 'text/plain; version=0.0.4'},
		});

	const createEntryListener = (
		name: string,
		address: ListenAddress,
		handler: FetchHandler,
	) => createListener(name, {...address, ...limits}, handler, clock.now);

	const ready = createEntryListener('ready', listen.ready, answerReady);
	const callers = createEntryListener('callers', listen.callers, deps.callers);
	const metrics = createEntryListener('metrics', listen.metrics, answerMetrics);

	const stop = async (code: number) => {
		if (isLeaving) {
			return;
		}

		isLeaving = true;
		const stoppedAt = clock.now();
		setTimeout(() => {
			process.exit(code); // eslint-disable-line unicorn/no-process-exit
		}, graceMs * exitShare);
		logger.info('stopping', {code});
		await daemon.handOverShards();
		const servedMs = clock.now() - stoppedAt;
		await delay(Math.max(0, graceMs * servingShare - servedMs));
		await callers.stop(stoppedAt + graceMs * cutOffShare);
		await daemon.stop();
		logger.info('stopped', {
			tookMs: Math.round(clock.now() - stoppedAt),
			code,
		});
		await deps.flushLog();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const reportFailure: ReportFailure = (err) => {
		logger.error('daemon failed', {error: err.message, stack: err.stack});
		void stop(exitCodes.failed);
	};

	const start = async () => {
		process.on('SIGTERM', () => {
			void stop(exitCodes.stopped);
		});
		// Hands the shards over, which the end of the process alone would not.
		process.on('uncaughtException', reportFailure);
		process.on('SIGHUP', () => {
			void deps.reload();
		});
		await ready.start(reportFailure);
		await callers.start(reportFailure);
		await metrics.start(reportFailure);
		await daemon.start(reportFailure);
	};

	return {start, stop, isLeaving: () => isLeaving};
};
