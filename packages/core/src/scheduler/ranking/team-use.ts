/**
 * What each team uses of a service, and whether its share of the team's cap
 * allows another start.
 */
import {mayStartWithin, type CapNeed} from '../../teams/cap-share.js';
import {
	addResources,
	maxResources,
	minResources,
	noResources,
} from '../../teams/resources.js';
import {couldHold} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {
	isStepReady,
	isWaiting,
	listTasks,
	type Step,
	type Task,
} from '../state/task.js';
import type {Resources} from '../state/types.js';

type Sum = {-readonly [name in keyof Resources]: Resources[name]};

/** Resources in use by team. */
export type TeamUse = Map<string, Sum>;

const getTeam = ({step}: Task): string | undefined =>
	step.occurrence.job.accepted.team;

const add = (
	use: TeamUse,
	team: string,
	{cpuMillis, memoryMb, accelerators}: Resources,
	factor = 1,
): void => {
	const sum = use.get(team) ?? {...noResources};
	sum.cpuMillis += factor * cpuMillis;
	sum.memoryMb += factor * memoryMb;
	sum.accelerators += factor * accelerators;
	use.set(team, sum);
};

/** Room of the executors that may run tasks of an earlier owner. */
const getUnresolvedCapacity = (owner: Owner): Resources => {
	let capacity = noResources;
	const ids = new Set([
		...owner.unresolvedExecutors.keys(),
		...owner.inheritedStarts.keys(),
	]);
	for (const id of ids) {
		const executor = owner.executors.get(id);
		capacity = executor
			? addResources(capacity, executor.listed.capacity)
			: capacity;
	}

	return capacity;
};

/**
 * Tasks of a team that an earlier owner may run on executors which have not
 * answered yet: any that are not done and have no known run.
 */
const addUnknownRuns = (owner: Owner, use: TeamUse): void => {
	if (
		owner.unresolvedExecutors.size === 0 &&
		owner.inheritedStarts.size === 0
	) {
		return;
	}

	const unknown: TeamUse = new Map();
	for (const job of owner.openJobs) {
		const {team} = job.accepted;
		for (const task of team === undefined ? [] : listTasks(job)) {
			if (
				team !== undefined &&
				isWaiting(task) &&
				!isLocationKnown(owner, task)
			) {
				add(unknown, team, task.step.spec.resources);
			}
		}
	}

	const capacity = getUnresolvedCapacity(owner);
	for (const [team, resources] of unknown) {
		add(use, team, minResources(resources, capacity));
	}
};

/**
 * Computes what the teams use of a service: all runs until their end is known,
 * also of ended jobs, starts without an answer and stops under way.
 */
export const computeTeamUse = (owner: Owner): TeamUse => {
	const use: TeamUse = new Map();
	for (const {runs} of owner.executors.values()) {
		for (const {task} of runs.values()) {
			const team = getTeam(task);
			if (team !== undefined) {
				add(use, team, task.step.spec.resources);
			}
		}
	}

	addUnknownRuns(owner, use);
	return use;
};

/** Whether the cap of its team allows tasks of a step to start. */
export const mayTeamStart = (
	owner: Owner,
	use: TeamUse,
	task: Task,
	count = 1,
): boolean => {
	const team = getTeam(task);
	const limit = team === undefined ? undefined : owner.capLimits.get(team);
	if (team === undefined || !limit) {
		return true;
	}

	const demand = multiply(task.step.spec.resources, count);
	return mayStartWithin(limit, use.get(team) ?? noResources, demand);
};

/** Adds the resources of a task that starts, or removes them with -1. */
export const recordTeamUse = (
	use: TeamUse,
	task: Task,
	sign: 1 | -1 = 1,
): void => {
	const team = getTeam(task);
	if (team === undefined) {
		return;
	}

	add(use, team, task.step.spec.resources, sign);
};

/** Whether some executor is large enough for a step and has its label. */
const isRunnable = ({executors}: Owner, step: Step): boolean => {
	for (const executor of executors.values()) {
		if (executor.isListed && couldHold(executor, step)) {
			return true;
		}
	}

	return false;
};

const computeNeeds = (
	owner: Owner,
	isIncluded: (step: Step) => boolean,
): ReadonlyMap<string, CapNeed> => {
	const needs = new Map<string, CapNeed>();
	for (const [team, used] of computeTeamUse(owner)) {
		needs.set(team, {used, waiting: noResources, largest: noResources});
	}

	for (const job of owner.openJobs) {
		const {team} = job.accepted;
		if (team !== undefined) {
			const known = needs.get(team);
			needs.set(team, addWaiting(owner, job, known, isIncluded));
		}
	}

	return needs;
};

/** Computes what each team uses and waits for, of the teams with work. */
export const computeTeamDemand = (owner: Owner): ReadonlyMap<string, CapNeed> =>
	computeNeeds(owner, () => true);

/**
 * Computes for what each team needs its cap. Tasks that no executor can run do
 * not count: a share that is held for them would be of use to no service.
 */
export const computeTeamNeeds = (owner: Owner): ReadonlyMap<string, CapNeed> =>
	computeNeeds(owner, (step) => isRunnable(owner, step));

const addWaiting = (
	owner: Owner,
	job: Parameters<typeof listTasks>[0],
	known: CapNeed | undefined,
	isIncluded: (step: Step) => boolean,
): CapNeed => {
	const {used, ...need} = known ?? {
		used: noResources,
		waiting: noResources,
		largest: noResources,
	};
	let {waiting, largest} = need;
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			const count =
				isStepReady(step) && isIncluded(step)
					? step.tasks.filter(
							(task) => isWaiting(task) && isLocationKnown(owner, task),
						).length
					: 0;
			const {resources, isGang} = step.spec;
			if (count > 0) {
				const demand = multiply(resources, count);
				waiting = addResources(waiting, demand);
				largest = maxResources(largest, isGang ? demand : resources);
			}
		}
	}

	return {used, waiting, largest};
};

const multiply = (
	{cpuMillis, memoryMb, accelerators}: Resources,
	count: number,
): Resources => ({
	cpuMillis: count * cpuMillis,
	memoryMb: count * memoryMb,
	accelerators: count * accelerators,
});
