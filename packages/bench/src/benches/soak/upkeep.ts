/** Waves that take whole pools, and failures of the machine API beside them. */
import {setTimeout as delay} from 'node:timers/promises';
import {linkStates, type Executor} from '@gullstand/users-platform/stand-ins';
import {waitUntil} from './daemons.js';
import type {SoakEnvironment} from './environment.js';
import {createPlainJob, jobKinds, type JobPlan} from './jobs.js';
import type {Recorder} from './record.js';
import {
	drawDisruption,
	type OfKind,
	type ScheduleOptions,
	type TimedDisruption,
	type WaveScope,
} from './schedule.js';
import type {SoakSizes} from './sizes.js';

export const upkeepKinds: ReadonlySet<string> = new Set([
	'pool-waves',
	'machine-api',
]);

/** Time in which a machine is evacuated, away and in use again. */
const turnS = 5;

/** Until a wave that has not been completed is left alone. */
const waveMaxMs = 90_000;

/** Beyond those of the other disruptions. */
const firstId = 4000;

export type UpkeepOptions = ScheduleOptions & {readonly count: number};

/** Draws waves of whole pools at even distances, some beside a failing API. */
export const drawUpkeep = (
	options: UpkeepOptions,
): readonly TimedDisruption[] => {
	const {random, only, count, fromMs, untilMs} = options;
	return Array.from({length: count}, (_, index) => {
		const share = (index + 0.5 * random()) / count;
		const atMs = Math.round(fromMs + share * (untilMs - fromMs));
		const isApiAway = random() < 0.6;
		const apiAfterMs = Math.round(5000 * random());
		const id = firstId + 2 * index;
		const wave = {...drawDisruption('pool-waves', options), id, atMs};
		const outage = {
			...drawDisruption('machine-api', options),
			id: id + 1,
			atMs: atMs + apiAfterMs,
		};
		return isApiAway ? [wave, outage] : [wave];
	})
		.flat()
		.filter(({kind}) => !only || only.includes(kind));
};

/**
 * Creates jobs of long-running tasks for each pool: one on each executor, and as
 * many as fit on all but one.
 */
export const createLastingJobs = (
	{services, taskCpuFactor}: SoakSizes,
	queues: readonly string[],
): readonly JobPlan[] =>
	services.flatMap(({executors}, service) =>
		[1, 2].map((antiAffinity) => ({
			...createPlainJob({
				id: `1a57${service}${antiAffinity}`.padEnd(16, '0'),
				queue: queues[2 * service]!,
				count: antiAffinity === 1 ? executors : antiAffinity * (executors - 1),
				antiAffinity,
				cpu: 400 * taskCpuFactor,
				memMb: 300,
				workMs: 0,
				longRunning: true,
				mayMiss: Math.max(1, Math.floor(executors / 4)),
				atMs: 0,
			}),
			kind: jobKinds.longRunning,
		})),
	);

const listPool = (
	executors: readonly Executor[],
	service: string,
): readonly Executor[] =>
	executors.filter(
		(each) =>
			each.isUp() &&
			!each.isMute() &&
			!each.isDraining() &&
			each.getService() === service,
	);

type Upkeep = {
	readonly machines: readonly Executor[];
	readonly cap: number;
};

const listServices = (executors: readonly Executor[]): readonly string[] => [
	...new Set(
		executors.filter((each) => each.isUp()).map((each) => each.getService()),
	),
];

/** Counts the turns of a wave that leaves most of each pool in use. */
const countTurns = (
	{executors}: SoakEnvironment,
	{machines, cap}: Upkeep,
): number => {
	const turns = listServices(executors).map((service) => {
		const due = machines.filter((each) => each.getService() === service);
		const pool = listPool(executors, service).length;
		return Math.ceil(due.length / Math.max(1, Math.floor(pool / 3)));
	});
	return Math.max(1, Math.ceil(machines.length / cap), ...turns);
};

/** Requests a wave and waits for its end, for some time. */
export const maintainMachines = async (
	environment: SoakEnvironment,
	recorder: Recorder,
	upkeep: Upkeep,
): Promise<void> => {
	const {operator, executors} = environment;
	const {cap} = upkeep;
	const wave = 1 + recorder.events.filter(({kind}) => kind === 'wave').length;
	const machines = upkeep.machines.map(({machine}) => machine);
	const durationS = turnS * countTurns(environment, upkeep);
	const wholePools = listServices(executors).filter((service) => {
		const pool = listPool(executors, service);
		return (
			pool.length > 0 && pool.every((each) => upkeep.machines.includes(each))
		);
	});
	const note = (state: 'requested' | 'completed' | 'not completed') => {
		recorder.note({
			kind: 'wave',
			wave,
			state,
			machines,
			cap,
			durationS,
			wholePools,
		});
	};

	note('requested');
	operator.requestWave({wave, machines, durationS, cap});
	const isCompleted = await waitUntil(
		async () => operator.isCompleted(wave),
		waveMaxMs,
	);
	note(isCompleted ? 'completed' : 'not completed');
};

/** Plays one or two waves, the second while the first is under way. */
export const playPoolWaves = async (
	{executor: index, scope, cap, next}: OfKind<'pool-waves'>,
	environment: SoakEnvironment,
	recorder: Recorder,
): Promise<void> => {
	const {executors} = environment;
	const services = listServices(executors);
	const executor = executors[index]!;
	const at = Math.max(0, services.indexOf(executor.getService()));
	const listDue = (of: WaveScope): readonly Executor[] => {
		switch (of) {
			case 'pool': {
				return listPool(executors, services[at]!);
			}

			case 'next-pool': {
				return listPool(executors, services[(at + 1) % services.length]!);
			}

			case 'all': {
				return services.flatMap((service) => listPool(executors, service));
			}

			case 'rack': {
				return services
					.flatMap((service) => listPool(executors, service))
					.filter(({labels}) => labels.includes(executor.labels[1]!));
			}
		}
	};

	const request = async (of: WaveScope, atMost: number) =>
		maintainMachines(environment, recorder, {
			machines: listDue(of),
			cap: atMost,
		});
	const requestNext = async (wave: NonNullable<typeof next>) => {
		await delay(wave.afterMs);
		await request(wave.scope, wave.cap);
	};

	await Promise.all([request(scope, cap), next && requestNext(next)]);
};

/** Lets the machine API fail for some time. */
export const troubleMachineApi = async (
	{trouble, forMs}: OfKind<'machine-api'>,
	{machines}: SoakEnvironment,
): Promise<void> => {
	switch (trouble) {
		case 'silent':
		case 'reset': {
			machines.setLink(linkStates[trouble]);
			break;
		}

		case 'busy': {
			machines.setStatus(503);
			break;
		}

		case 'throttled': {
			machines.setStatus(429);
			break;
		}
	}

	await delay(forMs);
	machines.setLink(linkStates.open);
	machines.setStatus(undefined);
};
