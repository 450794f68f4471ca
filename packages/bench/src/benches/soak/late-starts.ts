/**
 * Starts that have no answer, on executors that are cut off, crash behind the cut
 * and start again under their ids: the next incarnations carry the starts out,
 * seconds late.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {commandModes, linkStates} from '@gullstand/users-platform/stand-ins';
import type {SoakEnvironment} from './environment.js';
import {createPlainJob, type JobPlan} from './jobs.js';
import {waitForOwner} from './owners.js';
import {isKind} from './checks/history.js';
import type {Recorder, SoakEvent} from './record.js';
import {chooseExecutors, stopOwner} from './recuts.js';
import {
	drawDisruption,
	ownerTroubles,
	type OfKind,
	type ScheduleOptions,
	type TimedDisruption,
} from './schedule.js';
import type {SoakSizes} from './sizes.js';

export type LateStarts = OfKind<'late-starts'> &
	Pick<TimedDisruption, 'id' | 'atMs'>;

/** Beyond those of the other disruptions. */
const firstId = 6000;

/** Draws them spread over a span; what becomes of owners follows each other. */
export const drawLateStarts = (
	options: ScheduleOptions & {readonly count: number},
): readonly LateStarts[] => {
	const {only, count, fromMs, untilMs, random} = options;
	if (only && !only.includes('late-starts')) {
		return [];
	}

	return Array.from({length: count}, (_, index) => ({
		...drawDisruption('late-starts', options),
		owner: ownerTroubles[index % ownerTroubles.length]!,
		id: firstId + index,
		atMs: Math.round(
			fromMs + ((index + 0.8 * random()) / count) * (untilMs - fromMs),
		),
	}));
};

/** Creates the jobs that start as commands stay without an answer. */
export const createLateJobs = (
	{job, queue, atMs, workMs}: LateStarts,
	queues: readonly string[],
	services: SoakSizes['services'],
): readonly JobPlan[] =>
	[0, 100, 200].map((afterMs, index) =>
		createPlainJob({
			id: `${job}${index}`,
			queue: queues[queue]!,
			count: services[Math.floor(queue / 2)]!.executors,
			antiAffinity: 1,
			workMs,
			atMs: atMs + afterMs,
		}),
	);

/** Carries a disruption out; resolves when the executors can be reached again. */
export const delayStarts = async (
	disruption: OfKind<'late-starts'>,
	environment: SoakEnvironment,
	recorder: Recorder,
): Promise<void> => {
	const {queue, share, heldMs, crashAfterMs, downMs, cutMs} = disruption;
	const {service} = environment.queues[queue]!;
	const chosen = chooseExecutors(environment, service, share);
	for (const each of chosen) {
		each.setCommands(commandModes.isLate);
	}

	await delay(heldMs);
	for (const each of chosen) {
		each.setLink(linkStates.silent, disruption.isListed);
	}

	const owner = await waitForOwner(environment, service);
	const stopped =
		owner && stopOwner(disruption, {service, owner}, environment, recorder);
	await delay(crashAfterMs);
	for (const each of chosen) {
		each.crash();
	}

	await delay(downMs);
	await Promise.all(
		chosen.map(async (each) => {
			await each.restart();
			each.setCommands(commandModes.answers);
			each.setLink(linkStates.silent, disruption.isListed);
		}),
	);
	await delay(Math.max(0, cutMs - crashAfterMs - downMs));
	for (const each of chosen) {
		each.setLink(linkStates.open, true);
	}

	await stopped;
};

/** Counts the starts that an incarnation carried out late for the one before. */
export const countLateStarts = (events: readonly SoakEvent[]): number =>
	events
		.filter(isKind('start'))
		.filter(
			({isLate, bornMs, meantForBornMs}) => isLate && bornMs !== meantForBornMs,
		).length;
