/** Facts about a soak that several checks need, taken from its record. */
import type {Incarnation} from '@gullstand/users-platform/stand-ins';
import {listTasks} from '../jobs.js';
import type {SoakEvent} from '../record.js';
import type {SoakSizes} from '../sizes.js';
import type {JobRecord} from '../traffic.js';

export type EventOf<Kind extends SoakEvent['kind']> = Extract<
	SoakEvent,
	{readonly kind: Kind}
>;

export type Start = EventOf<'start'>;
export type End = EventOf<'end'>;

/** A run of a task; without an end it has none in the record. */
export type Run = {
	readonly start: Start;
	readonly endMs: number;
	/** Absent if its executor went down under it, or it still runs. */
	readonly end: End | undefined;
	/** Whether its executor crashed under it. */
	readonly isCrashed: boolean;
	/** Whether a move or an upkeep of its machine ended it. */
	readonly isEndedByOrder: boolean;
};

export type History = {
	readonly events: readonly SoakEvent[];
	readonly jobs: ReadonlyMap<string, JobRecord>;
	readonly sizes: SoakSizes;
	/** Unix time of the start of the record. */
	readonly epochMs: number;
	readonly endMs: number;
	readonly runs: readonly Run[];
	readonly runsByTask: ReadonlyMap<string, readonly Run[]>;
	/**
	 * When an end was taken note of; `undefined` if it was not, or only after
	 * the lease of its executor had lapsed.
	 */
	readonly getNotedMs: (end: End) => number | undefined;
	/** When an end was acknowledged, whatever its executor's lease did. */
	readonly getAcknowledgedMs: (end: End) => number | undefined;
	/** When a task first ended as done, noted or not. */
	readonly getDoneMs: (task: string) => number | undefined;
	/** Whether no disruption was under way in a span, nor did stand-ins lag. */
	readonly isCalm: (fromMs: number, toMs: number) => boolean;
	/** The same, beside waves and failures of the machine API. */
	readonly isCalmBesideUpkeep: (fromMs: number, toMs: number) => boolean;
	/** The same, though stand-ins may have lagged for a small share of it. */
	readonly isMostlyCalmBesideUpkeep: (fromMs: number, toMs: number) => boolean;
	/** Whether no disruption but planned work was under way in a span. */
	readonly isFreeOfFaults: (fromMs: number, toMs: number) => boolean;
	/** Share of a span by which the stand-ins were late. */
	readonly getLagShare: (fromMs: number, toMs: number) => number;
	readonly configurations: ReadonlyArray<EventOf<'configuration'>>;
	readonly getPhaseMs: (phase: EventOf<'phase'>['phase']) => number;
};

/** What breaks a rule. */
export type Break = {
	readonly rule: string;
	readonly text: string;
};

export const toIncarnationKey = ({executor, bornMs}: Incarnation): string =>
	`${executor}@${bornMs}`;

export const isKind = <Kind extends SoakEvent['kind']>(
	...kinds: readonly Kind[]
) => {
	const known: ReadonlySet<string> = new Set(kinds);
	return (event: SoakEvent): event is EventOf<Kind> => known.has(event.kind);
};

const listRuns = (
	events: readonly SoakEvent[],
	endMs: number,
): readonly Run[] => {
	const open = new Map<string, Start>();
	const runs: Run[] = [];
	const toKey = (of: Incarnation & {task: string; run: number}) =>
		`${toIncarnationKey(of)} ${of.task} ${of.run}`;
	for (const event of events.filter(isKind('start', 'end', 'down'))) {
		switch (event.kind) {
			case 'start': {
				open.set(toKey(event), event);
				break;
			}

			case 'end': {
				const start = open.get(toKey(event));
				open.delete(toKey(event));
				if (start) {
					runs.push({
						start,
						endMs: event.atMs,
						end: event,
						isCrashed: false,
						isEndedByOrder: false,
					});
				}

				break;
			}

			case 'down': {
				for (const [key, start] of open) {
					if (toIncarnationKey(start) === toIncarnationKey(event)) {
						open.delete(key);
						runs.push({
							start,
							endMs: event.atMs,
							end: undefined,
							isCrashed: event.cause === 'crash',
							isEndedByOrder: event.cause === 'order',
						});
					}
				}

				break;
			}
		}
	}

	for (const start of open.values()) {
		runs.push({
			start,
			endMs,
			end: undefined,
			isCrashed: false,
			isEndedByOrder: false,
		});
	}

	return runs.sort((one, two) => one.start.atMs - two.start.atMs);
};

/**
 * Returns when each end was acknowledged, as `INCARNATION NUMBER`; without those
 * before which the lease lapsed if `endsAtLapse`.
 */
const listAcknowledged = (
	events: readonly SoakEvent[],
	endsAtLapse: boolean,
): ReadonlyMap<string, number> => {
	const noted = new Map<string, number>();
	const pending = new Map<string, number[]>();
	for (const event of events.filter(
		isKind('end', 'lease lapsed', 'acknowledged'),
	)) {
		switch (event.kind) {
			case 'end': {
				const key = toIncarnationKey(event);
				pending.set(key, [...(pending.get(key) ?? []), event.number]);
				break;
			}

			case 'lease lapsed': {
				if (endsAtLapse) {
					pending.delete(toIncarnationKey(event));
				}

				break;
			}

			case 'acknowledged': {
				const key = toIncarnationKey(event);
				const ends = pending.get(key) ?? [];
				for (const number of ends.filter((each) => each <= event.upTo)) {
					noted.set(`${key} ${number}`, event.atMs);
				}

				pending.set(
					key,
					ends.filter((each) => each > event.upTo),
				);
				break;
			}
		}
	}

	return noted;
};

type Span = {
	readonly name: string;
	readonly fromMs: number;
	readonly toMs: number;
	readonly isPlanned: boolean;
};

/** Share of a long span in which stand-ins may lag. */
const maxLagShare = 0.02;

/** What is no excuse for a job that stands. */
const upkeepKinds: ReadonlySet<string> = new Set([
	'wave',
	'pool-waves',
	'machine-api',
]);

const listDisruptions = (events: readonly SoakEvent[]): readonly Span[] =>
	events.filter(isKind('disruption begins')).map((begin) => ({
		name: begin.name,
		fromMs: begin.atMs,
		toMs:
			events
				.filter(isKind('disruption ends'))
				.find((each) => each.id === begin.id)?.atMs ?? Number.POSITIVE_INFINITY,
		isPlanned: begin.isPlanned,
	}));

const listLags = (events: readonly SoakEvent[]): readonly Span[] =>
	events.filter(isKind('lag')).map(({atMs, ms}) => ({
		name: 'lag',
		fromMs: atMs - ms,
		toMs: atMs,
		isPlanned: false,
	}));

const groupByTask = (
	runs: readonly Run[],
): ReadonlyMap<string, readonly Run[]> => {
	const groups = new Map<string, Run[]>();
	for (const run of runs) {
		const group = groups.get(run.start.task) ?? [];
		group.push(run);
		groups.set(run.start.task, group);
	}

	return groups;
};

export const createHistory = (
	events: readonly SoakEvent[],
	jobs: ReadonlyMap<string, JobRecord>,
	sizes: SoakSizes,
	epochMs: number,
): History => {
	const endMs = events.at(-1)?.atMs ?? 0;
	const runs = listRuns(events, endMs);
	const runsByTask = groupByTask(runs);
	const noted = listAcknowledged(events, true);
	const acknowledged = listAcknowledged(events, false);
	const toEndKey = (end: End) => `${toIncarnationKey(end)} ${end.number}`;
	const disruptions = [...listDisruptions(events), ...listLags(events)];
	const doneAt = new Map<string, number>();
	for (const {start, end} of runs) {
		if (end?.how === 'done') {
			const earlier = doneAt.get(start.task) ?? Number.POSITIVE_INFINITY;
			doneAt.set(start.task, Math.min(earlier, end.atMs));
		}
	}

	const isFree = (spans: readonly Span[], fromMs: number, toMs: number) =>
		spans.every((span) => span.toMs < fromMs || span.fromMs > toMs);
	const others = disruptions.filter(({name}) => !upkeepKinds.has(name));
	const faults = disruptions.filter(({isPlanned}) => !isPlanned);
	const getLagShare = (fromMs: number, toMs: number): number => {
		let lagMs = 0;
		for (const {atMs, ms} of events.filter(isKind('lag'))) {
			lagMs += atMs >= fromMs && atMs <= toMs ? ms : 0;
		}

		return lagMs / (toMs - fromMs);
	};

	return {
		events,
		jobs,
		sizes,
		epochMs,
		endMs,
		runs,
		runsByTask,
		getNotedMs: (end) => noted.get(toEndKey(end)),
		getAcknowledgedMs: (end) => acknowledged.get(toEndKey(end)),
		getDoneMs: (task) => doneAt.get(task),
		isCalm: (fromMs, toMs) => isFree(disruptions, fromMs, toMs),
		isCalmBesideUpkeep: (fromMs, toMs) => isFree(others, fromMs, toMs),
		isMostlyCalmBesideUpkeep: (fromMs, toMs) =>
			isFree(
				others.filter(({name}) => name !== 'lag'),
				fromMs,
				toMs,
			) && getLagShare(fromMs, toMs) < maxLagShare,
		isFreeOfFaults: (fromMs, toMs) => isFree(faults, fromMs, toMs),
		getLagShare,
		configurations: events.filter(isKind('configuration')),
		getPhaseMs: (phase) =>
			events.filter(isKind('phase')).find((each) => each.phase === phase)
				?.atMs ?? Number.POSITIVE_INFINITY,
	};
};

/** Occurrences of a job, numbered from 0. */
export const countOccurrences = ({plan}: JobRecord): number =>
	Math.max(1, plan.times);

/** Returns all tasks of a job with the number of their step. */
export const listAllTasks = (
	job: JobRecord,
): ReadonlyArray<{readonly task: string; readonly step: number}> =>
	Array.from({length: countOccurrences(job)}, (_, occurrence) => occurrence)
		.flatMap((occurrence) =>
			job.plan.steps.map(({count}, step) => ({occurrence, step, count})),
		)
		.flatMap(({occurrence, step, count}) =>
			listTasks(job.plan.id, occurrence, step, count).map((task) => ({
				task,
				step,
			})),
		);
