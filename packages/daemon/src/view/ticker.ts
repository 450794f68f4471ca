/** Runs an action again and again, with jitter, one run at a time. */
import type {ReportFailure} from '../supervisor/supervisor.js';

/** A ticker. */
export type Ticker = {
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	/** Waits for a run that is under way. */
	readonly stop: () => Promise<void>;
};

const jitterShare = 0.25;

/** Time to the next run: the period, up to a quarter less or more. */
export const getJitteredMs = (periodMs: number, random: number): number =>
	periodMs * (1 + jitterShare * (2 * random - 1));

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
