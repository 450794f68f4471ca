/** Runs a daemon as a process: signals, exit codes. */
import process from 'node:process';
import type {Daemon} from './daemon.js';
import type {Logger} from './log/logger.js';

/** Exit codes of `gullstandd`. */
export const exitCodes = {
	stopped: 0,
	failed: 1,
	badSettings: 2,
	secondSignal: 3,
} as const;

/** Starts, waits for a signal or a failure, stops and exits. */
export const runProcess = async (
	daemon: Daemon,
	logger: Logger,
	close: () => Promise<void>,
) => {
	let signals = 0;

	const end = async (code: number) => {
		await daemon.stop();
		await close();
		process.exitCode = code;
		// Log lines are flushed before the process ends.
		logger.once('finish', () => {
			process.exit(code); // eslint-disable-line unicorn/no-process-exit
		});
		logger.end();
	};

	const onSignal = (signal: string) => {
		signals += 1;
		logger.info('signal', {signal});
		if (signals > 1) {
			process.exit(exitCodes.secondSignal); // eslint-disable-line unicorn/no-process-exit
		}

		void end(exitCodes.stopped);
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
	try {
		await daemon.start((err) => {
			logger.error('giving up', {error: err.message});
			void end(exitCodes.failed);
		});
	} catch (err) {
		logger.error('did not start', {error: (err as Error).message});
		await close();
		process.exitCode = exitCodes.failed;
	}
};
