/** Runs an action periodically with jitter; runs never overlap. */
import type {ReportFailure} from '../supervisor/supervisor.js';

/** A periodic action. */
export type Ticker = {
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	/** Cancels the next run and waits for the current one. */
	readonly stop: () => Promise<void>;
};

const jitterFraction = 0.25;

/** Time until the next run, in milliseconds: the period ± 25%. */
export const getJitteredMs = (periodMs: number, random: number): number =>
	periodMs * (1 + jitterFraction * (2 * random - 1));

/** Creates a ticker; an action that throws is reported and not run again. */
export const createTicker = (
	action: () => Promise<void>,
	periodMs: number,
	random: () => number,
): Ticker => {
	let timer: NodeJS.Timeout | undefined;
	let running: Promise<void> = Promise.resolve();
	let isStopped = true;

	const schedule = (reportFailure: ReportFailure) => {
		timer = setTimeout(
			() => {
				running = run(reportFailure);
			},
			getJitteredMs(periodMs, random()),
		);
	};

	const run = async (reportFailure: ReportFailure) => {
		try {
			await action();
		} catch (err) {
			reportFailure(err as Error);
			return;
		}

		if (!isStopped) {
			schedule(reportFailure);
		}
	};

	return {
		async start(reportFailure) {
			isStopped = false;
			schedule(reportFailure);
		},
		async stop() {
			isStopped = true;
			clearTimeout(timer);
			await running;
		},
	};
};
