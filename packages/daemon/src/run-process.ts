/** Runs a daemon as a process with signal handling and exit codes. */
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

/** Starts the daemon and stops it on a signal or a failure. */
export const runProcess = async (
	daemon: Daemon,
	logger: Logger,
	close: () => Promise<void>,
) => {
	let signals = 0;

	const stopAndExit = async (code: number) => {
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

		void stopAndExit(exitCodes.stopped);
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
	try {
		await daemon.start((err) => {
			logger.error('daemon failed', {error: err.message});
			void stopAndExit(exitCodes.failed);
		});
	} catch (err) {
		logger.error('daemon failed to start', {error: (err as Error).message});
		await close();
		process.exitCode = exitCodes.failed;
	}
};
