/** Orders ranked jobs by the shares of their teams. */
import type {RankedJob} from '../ranking/rank.js';
import {
	addClaims,
	createFilling,
	orderByShare,
	type Holdings,
} from './fair-order.js';
import type {WaitingJob} from './waiting-jobs.js';

const isSameGroup = (one: RankedJob, two: RankedJob): boolean =>
	one.timeliness === two.timeliness &&
	one.job.accepted.policy.priority === two.job.accepted.policy.priority;

/** Splits ranked jobs into the groups whose order stays. */
const splitIntoGroups = (
	jobs: readonly WaitingJob[],
): ReadonlyArray<readonly WaitingJob[]> => {
	const groups: WaitingJob[][] = [];
	for (const job of jobs) {
		const group = groups.at(-1);
		if (group?.[0] && isSameGroup(group[0].ranked, job.ranked)) {
			group.push(job);
		} else {
			groups.push([job]);
		}
	}

	return groups;
};

/**
 * Orders ranked jobs by the shares of their teams within each group of equal
 * timeliness and priority. Long-running jobs keep their order.
 */
export const orderJobs = (
	jobs: readonly WaitingJob[],
	holdings: Holdings,
): readonly WaitingJob[] => {
	const filling = createFilling(holdings);
	const ordered: WaitingJob[] = [];
	for (const group of splitIntoGroups(jobs)) {
		if (group[0]?.ranked.timeliness === 'lasting') {
			addClaims(filling, group);
			ordered.push(...group);
		} else {
			ordered.push(...orderByShare(filling, group));
		}
	}

	return ordered;
};
