/** Rules on machines and their waves: LIMIT, MIXED, ONE, and Duty. */
import {parseTask, ruleBounds} from '@gullstand/users-platform/stand-ins';
import {countRoom, getFree, listActive, toStepKey} from './standing.js';
import {isKind, type Break, type EventOf, type History} from './history.js';

/** Upkeeps that begin while too many machines of their wave are away. */
export const findCrowdedWaves = (history: History): readonly Break[] => {
	const caps = new Map(
		history.events
			.filter(isKind('wave'))
			.map(({wave, cap}) => [String(wave), cap] as const),
	);
	const away = new Map<string, Set<string>>();
	const breaks: Break[] = [];
	for (const event of history.events) {
		if (event.kind === 'upkeep begins') {
			const others = away.get(event.wave) ?? new Set();
			away.set(event.wave, others);
			if (others.size >= (caps.get(event.wave) ?? 0)) {
				breaks.push({
					rule: 'LIMIT',
					text: `upkeep of ${event.machine} begins at ${event.atMs} ms beside ${others.size} others of wave ${event.wave}`,
				});
			}

			others.add(event.machine);
		} else if (event.kind === 'upkeep ends') {
			away.get(event.wave)?.delete(event.machine);
		}
	}

	return breaks;
};

/** Waves said to be completed before all their upkeeps have begun. */
export const findEarlyCompletions = (history: History): readonly Break[] =>
	history.events
		.filter(isKind('wave'))
		.filter(({state}) => state === 'completed')
		.flatMap(({wave, machines, atMs}) => {
			const begun = new Set(
				history.events
					.filter(isKind('upkeep begins'))
					.filter((each) => each.wave === String(wave) && each.atMs <= atMs)
					.map(({machine}) => machine),
			);
			const gone = new Set(
				history.events
					.filter(isKind('machine gone'))
					.filter((each) => each.atMs <= atMs)
					.map(({machine}) => machine),
			);
			const missing = machines.filter(
				(each) => !begun.has(each) && !gone.has(each),
			);
			return missing.length > 0
				? [
						{
							rule: 'MIXED',
							text: `wave ${wave} is completed at ${atMs} ms without ${missing.join(', ')}`,
						},
					]
				: [];
		});

/** Orders of two holders with one token, or in turns within a lease in calm. */
export const findContestedOrders = (history: History): readonly Break[] => {
	const last = new Map<string, EventOf<'machine ordered'>>();
	const holders = new Map<string, string>();
	return history.events.filter(isKind('machine ordered')).flatMap((order) => {
		const {machine, holder, token, atMs} = order;
		const earlier = last.get(machine);
		const key = `${machine} ${token}`;
		const first = holders.get(key) ?? holder;
		last.set(machine, order);
		holders.set(key, first);
		const isTurn =
			earlier !== undefined &&
			earlier.holder !== holder &&
			atMs - earlier.atMs < ruleBounds.leaseMs &&
			history.isCalm(earlier.atMs - ruleBounds.contactMs, atMs);
		return first !== holder || isTurn
			? [
					{
						rule: 'ONE',
						text: `${machine} is ordered by ${holder} with ${token} at ${atMs} ms after ${earlier?.holder} with ${earlier?.token} at ${earlier?.atMs} ms`,
					},
				]
			: [];
	});
};

/** Beyond a failure of the machine API, until it is used again. */
const apiReturnMs = 3000;

/** Time in which the machine API failed in a span. */
const getApiAwayMs = (
	{events}: History,
	fromMs: number,
	toMs: number,
): number => {
	let awayMs = 0;
	let beganMs: number | undefined;
	for (const event of events.filter(({atMs}) => atMs <= toMs)) {
		if (event.kind === 'disruption begins' && event.name === 'machine-api') {
			beganMs = event.atMs;
		} else if (
			event.kind === 'disruption ends' &&
			event.name === 'machine-api' &&
			event.atMs > fromMs
		) {
			awayMs += event.atMs - (beganMs ?? fromMs) + apiReturnMs;
		}
	}

	return awayMs;
};

/**
 * Whether long-running tasks may not leave a machine: as many others of their
 * step as may miss are away and there is no room for these.
 */
const isHeldByTasks = (
	history: History,
	machine: string,
	atMs: number,
): boolean => {
	const active = listActive(history, atMs);
	const free = getFree(history, active, atMs);
	return active.some(({start}) => {
		const {job, step: number} = parseTask(start.task);
		const step = history.jobs.get(job)?.plan.steps[number];
		const key = toStepKey(start.task);
		const atWork = active.filter((run) => toStepKey(run.start.task) === key);
		const own = free.filter(({service}) => service === start.service);
		return (
			`m-${start.executor}-`.startsWith(`${machine}-`) &&
			step?.longRunning === true &&
			step.count - atWork.length >= step.mayMiss &&
			countRoom(own, step, key) === 0
		);
	});
};

const tickMs = 1000;

/** Whether a machine could be emptied at some moment of a span. */
const couldLeave = (
	history: History,
	machine: string,
	fromMs: number,
	toMs: number,
): boolean =>
	Array.from(
		{length: Math.ceil((toMs - fromMs) / tickMs)},
		(_, tick) => fromMs + tick * tickMs,
	).some((atMs) => !isHeldByTasks(history, machine, atMs));

/** Machines of a wave whose upkeep has not begun at a time. */
const listLeft = (
	{events}: History,
	{wave, machines}: EventOf<'wave'>,
	atMs: number,
): readonly string[] =>
	machines.filter(
		(machine) =>
			!events.some(
				(event) =>
					event.kind === 'upkeep begins' &&
					event.machine === machine &&
					event.wave === String(wave) &&
					event.atMs <= atMs,
			),
	);

/** Waves that are not completed in time, though they could be. */
export const findLateWaves = (history: History): readonly Break[] => {
	const waves = history.events.filter(isKind('wave'));
	const getEnd = (wave: number) =>
		waves.find((each) => each.wave === wave && each.state !== 'requested');
	return waves
		.filter(({state}) => state === 'requested')
		.flatMap((requested) => {
			const {wave, machines, cap, atMs} = requested;
			const end = getEnd(wave);
			const endMs = end?.atMs ?? history.endMs;
			const beside = waves.filter(
				(each) =>
					each.state === 'requested' &&
					each.atMs <= endMs &&
					(getEnd(each.wave)?.atMs ?? history.endMs) >= atMs,
			);
			let dueMs = atMs + getApiAwayMs(history, atMs, endMs);
			for (const {durationS} of beside) {
				dueMs += 1000 * durationS;
			}

			return endMs > dueMs &&
				history.isMostlyCalmBesideUpkeep(atMs - ruleBounds.contactMs, dueMs) &&
				listLeft(history, requested, dueMs).every((machine) =>
					couldLeave(history, machine, atMs, dueMs),
				)
				? [
						{
							rule: 'Duty',
							text: `wave ${wave} of ${machines.length} machines, ${cap} at once, from ${atMs} ms is ${end?.state ?? 'not completed'} at ${endMs} ms, due at ${dueMs} ms beside ${beside.length - 1} others`,
						},
					]
				: [];
		});
};

/** Longest time without an upkeep while machines are due. */
const stallMs = 15_000;

/** Spans in which no upkeep begins though a machine of a wave could leave. */
export const findStalledWaves = (history: History): readonly Break[] => {
	const waves = history.events.filter(isKind('wave'));
	const requests = waves.filter(({state}) => state === 'requested');
	const changes = history.events.filter(
		(event) =>
			event.kind === 'upkeep begins' ||
			event.kind === 'wave' ||
			('name' in event && event.name === 'machine-api'),
	);
	return changes.flatMap(({atMs}, index) => {
		const toMs = atMs + stallMs;
		const nextMs = changes[index + 1]?.atMs ?? history.endMs;
		const open = requests.filter(
			({wave, atMs: fromMs}) =>
				fromMs <= atMs &&
				!waves.some(
					(each) =>
						each.wave === wave &&
						each.state !== 'requested' &&
						each.atMs <= atMs,
				),
		);
		const left = open.flatMap((each) => listLeft(history, each, atMs));
		const isStalled =
			nextMs > toMs &&
			left.length > 0 &&
			history.isMostlyCalmBesideUpkeep(atMs - ruleBounds.contactMs, toMs) &&
			left.some((machine) => couldLeave(history, machine, atMs, toMs));
		return isStalled
			? [
					{
						rule: 'Duty',
						text: `no upkeep begins from ${atMs} to ${nextMs} ms with ${open.length} waves under way; due are ${[...new Set(left)].join(', ')}`,
					},
				]
			: [];
	});
};
