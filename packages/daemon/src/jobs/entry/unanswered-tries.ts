/**
 * Remembers the jobs whose submission is under way or had no answer. Such a job
 * may be stored, also later, so it must not be reported as rejected.
 */

export type UnansweredTries = {
	/** Whether a submission of the job may still take effect. */
	readonly has: (key: string) => boolean;
	readonly begin: (key: string) => void;
	/** Ends a submission; without an answer it may still take effect. */
	readonly end: (key: string, isAnswered: boolean) => void;
};

type Tries = {
	underWay: number;
	unansweredAt: number;
};

/** How long callers repeat a submission at most, in milliseconds. */
const keepMs = 30_000;

/** Jobs that are remembered: some 1 MB. */
const maxJobs = 5000;

/** `now` returns monotonic milliseconds. */
export const createUnansweredTries = (now: () => number): UnansweredTries => {
	const jobs = new Map<string, Tries>();
	/** Until then, any job may be one that was forgotten. */
	let incompleteUntil = Number.NEGATIVE_INFINITY;

	const isRecent = ({underWay, unansweredAt}: Tries): boolean =>
		underWay > 0 || now() - unansweredAt < keepMs;

	const forget = () => {
		for (const [key, tries] of jobs) {
			if (jobs.size <= maxJobs) {
				return;
			}

			if (isRecent(tries)) {
				incompleteUntil = now() + keepMs;
			}

			jobs.delete(key);
		}
	};

	return {
		has(key) {
			const tries = jobs.get(key);
			return (
				now() < incompleteUntil || (tries !== undefined && isRecent(tries))
			);
		},
		begin(key) {
			const tries = jobs.get(key) ?? {
				underWay: 0,
				unansweredAt: Number.NEGATIVE_INFINITY,
			};
			tries.underWay += 1;
			jobs.set(key, tries);
			forget();
		},
		end(key, isAnswered) {
			const tries = jobs.get(key);
			if (!tries) {
				return;
			}

			tries.underWay = Math.max(0, tries.underWay - 1);
			tries.unansweredAt = isAnswered ? tries.unansweredAt : now();
			if (!isRecent(tries)) {
				jobs.delete(key);
			}
		},
	};
};
