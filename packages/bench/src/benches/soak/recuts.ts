/**
 * Executors that start again under their ids and are cut off soon after, while
 * commands for their former incarnations are under way.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	commandModes,
	linkStates,
	ruleBounds,
	type CommandMode,
	type Executor,
} from '@gullstand/users-platform/stand-ins';
import {drawBelow} from '../../frame/random.js';
import {bringBack, waitUntil, type Daemon} from './daemons.js';
import type {SoakEnvironment} from './environment.js';
import {createPlainJob, type JobPlan} from './jobs.js';
import {findOwner, waitForOwner} from './owners.js';
import type {Recorder} from './record.js';
import type {SoakSizes} from './sizes.js';
import {
	drawDisruption,
	ownerTroubles,
	type OfKind,
	type ScheduleOptions,
	type TimedDisruption,
} from './schedule.js';

export type Recut = OfKind<'recuts'> & Pick<TimedDisruption, 'id' | 'atMs'>;

/** Beyond those of the other disruptions. */
const firstId = 5000;

export type RecutsOptions = ScheduleOptions & {readonly count: number};

/**
 * Draws restarts that are followed by a cut, spread over a span; what becomes
 * of owners follows each other.
 */
export const drawRecuts = (options: RecutsOptions): readonly Recut[] => {
	const {random, only, count, fromMs, untilMs} = options;
	if (only && !only.includes('recuts')) {
		return [];
	}

	const first = drawBelow(random, ownerTroubles.length);
	return Array.from({length: count}, (_, index) => {
		const share = (index + 0.8 * random()) / count;
		return {
			...drawDisruption('recuts', options),
			owner: ownerTroubles[(first + index) % ownerTroubles.length]!,
			id: firstId + index,
			atMs: Math.round(fromMs + share * (untilMs - fromMs)),
		};
	});
};

/** From the start of the first job until the executors restart. */
const leadMs = 2000;

/**
 * From the end of the last cut until all jobs are done: leases lapse, and tasks
 * run anew.
 */
export const recutSettleMs = 45_000;

/**
 * Creates the jobs of a restart: one whose tasks are at work then, and some that
 * start as commands are held up.
 */
export const createRecutJobs = (
	{job, queue, atMs, heldMs, workMs}: Recut,
	queues: readonly string[],
	services: SoakSizes['services'],
): readonly JobPlan[] =>
	[-leadMs, 0, heldMs / 4, heldMs / 2].map((afterMs, index) =>
		createPlainJob({
			id: `${job}${index}`,
			queue: queues[queue]!,
			count: services[Math.floor(queue / 2)]!.executors,
			antiAffinity: 2,
			workMs,
			atMs: Math.max(0, Math.round(atMs + afterMs)),
		}),
	);

/** Longest time until another daemon owns the service of a paused one. */
const replacedMaxMs = 12_000;

/** Stops the owner of a service; resolves when it is back. */
export const stopOwner = async (
	{owner: trouble, backMs}: Pick<OfKind<'recuts'>, 'owner' | 'backMs'>,
	{service, owner}: {readonly service: string; readonly owner: Daemon},
	environment: SoakEnvironment,
	{note}: Recorder,
): Promise<void> => {
	switch (trouble) {
		case 'none': {
			break;
		}

		case 'killed': {
			note({kind: 'owner', daemon: owner.name, service, trouble});
			await owner.kill();
			await bringBack(owner, backMs);
			break;
		}

		case 'terminated': {
			note({kind: 'owner', daemon: owner.name, service, trouble});
			await owner.terminate(ruleBounds.graceMs);
			await bringBack(owner, backMs);
			break;
		}

		case 'replaced': {
			owner.signal('SIGSTOP');
			const isReplaced = await waitUntil(
				async () => findOwner(environment, service) !== owner,
				replacedMaxMs,
			);
			if (isReplaced) {
				note({kind: 'owner', daemon: owner.name, service, trouble});
				await delay(backMs);
			}

			owner.signal('SIGCONT');
			break;
		}
	}
};

/** Some of the executors of a service that keep their ids, all but one at most. */
export const chooseExecutors = (
	{executors, fleet}: SoakEnvironment,
	service: string,
	share: number,
): readonly Executor[] => {
	const up = executors.filter(
		(each) =>
			each.getService() === service &&
			each.isUp() &&
			!each.isMute() &&
			!each.isDraining() &&
			!each.isCut(),
	);
	const count = Math.min(Math.ceil(share * up.length), up.length - 1);
	return up.filter((each) => fleet.keepsId(each)).slice(0, Math.max(1, count));
};

/** Restarts executors of a service, troubles its owner and cuts them off. */
export const cutRestarted = async (
	disruption: OfKind<'recuts'>,
	environment: SoakEnvironment,
	recorder: Recorder,
): Promise<void> => {
	const {queue, share, heldMs, held, downMs, forNextMs} = disruption;
	const {cutAfterMs, ownerShare, state, forMs} = disruption;
	const {service} = environment.queues[queue]!;
	const chosen = chooseExecutors(environment, service, share);
	const setCommands = (mode: CommandMode) => {
		for (const each of chosen) {
			each.setCommands(mode);
		}
	};

	setCommands(held);
	await delay(heldMs);
	setCommands(commandModes.answers);
	for (const each of chosen) {
		each.crash();
	}

	await delay(downMs);
	await Promise.all(chosen.map(async (each) => each.restart(forNextMs)));
	await delay(ownerShare * cutAfterMs);
	const owner = await waitForOwner(environment, service);
	const stopped =
		owner && stopOwner(disruption, {service, owner}, environment, recorder);
	await delay((1 - ownerShare) * cutAfterMs);
	for (const each of chosen) {
		each.setLink(state, false);
	}

	await delay(forMs);
	for (const each of chosen) {
		each.setLink(linkStates.open, true);
	}

	await stopped;
};
