/** Work that goes on by itself while its part runs. */
import type {ReportFailure} from '../supervisor/supervisor.js';

const runAndReport = async (
	work: () => Promise<void>,
	reportFailure: ReportFailure,
): Promise<void> => {
	try {
		await work();
	} catch (err) {
		reportFailure(err as Error);
	}
};

/** Begins work; an error that it throws is reported to the supervisor. */
export const runInBackground = (
	work: () => Promise<void>,
	reportFailure: ReportFailure,
): void => {
	void runAndReport(work, reportFailure);
};
