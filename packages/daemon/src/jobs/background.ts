/** Background work of a supervised part. */
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

/** Starts work without awaiting it; reports an error to the supervisor. */
export const runInBackground = (
	work: () => Promise<void>,
	reportFailure: ReportFailure,
): void => {
	void runAndReport(work, reportFailure);
};
