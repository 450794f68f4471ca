/**
 * Orders what happens to machines while this daemon holds the fleet's shard:
 * waves of maintenance. The owners of services empty the executors; here it
 * is decided which, and the platform is asked.
 */
import {fleet} from '@gullstand/core';
import type {
	Machine,
	MachineAnswer,
	Machines,
	RowStore,
	WaveRequest,
} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {delay, getMostElapsedMs, type Clock, type Moment} from '../clock.js';
import type {OwnerChannel} from '../entry/owner-channel.js';
import type {ServiceLoad} from '../owner/owner-runner.js';
import {getServiceShard} from '../rows/tables.js';
import type {HeldShard} from '../shards/shard-keeper.js';
import {readWaves, storeWave} from './wave-rows.js';

/** Writes for operators how far a wave is. */
export type WaveStatusPort = {
	readonly write: (
		wave: string,
		state: 'running' | 'completed',
		timeoutMs: number,
	) => Promise<boolean>;
};

/** Times of the fleet's work, in milliseconds. */
export const fleetPeriods = {
	/** Between two rounds. */
	roundMs: 200,
	/** A call to the platform. */
	platformTimeoutMs: 1500,
	/** How long work may end by itself before it is stopped. */
	patienceMs: 1400,
	/** Time that one machine of a wave takes, emptying included. */
	turnMs: 4500,
} as const;

/** What the runner needs. */
export type FleetRunnerDeps = {
	readonly held: HeldShard;
	readonly holder: string;
	readonly store: RowStore;
	readonly machines: Machines;
	readonly status: WaveStatusPort;
	readonly owners: OwnerChannel;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Time between orders of two holders for one machine. */
	readonly turnoverMs: number;
	/** How long the holder acts without having confirmed its lease. */
	readonly beliefMs: number;
	readonly getConfirmed: () => Moment | undefined;
	readonly listWaves: () => readonly WaveRequest[];
	/** Services whose owner must agree before a machine goes. */
	readonly hasOwner: (service: string) => boolean;
	readonly onLost: (reason: string) => void;
	readonly reportFailure: ReportFailure;
};

/** The runner while the shard is held. */
export type FleetRunner = {
	readonly start: () => void;
	readonly stop: () => void;
};

type View = {
	readonly machines: ReadonlyMap<string, Machine>;
	readonly waveMachines: ReadonlyMap<string, fleet.WaveMachine>;
	readonly loads: ReadonlyMap<string, ServiceLoad>;
};

const toWaveMachine = (machine: Machine): fleet.WaveMachine => ({
	id: machine.id,
	pool: machine.pool,
	isUp: machine.state === 'up',
	executorId: machine.executorId,
});

/** Creates a runner; it does nothing before `start`. */
export const createFleetRunner = (deps: FleetRunnerDeps): FleetRunner => {
	const {held, store, owners, clock} = deps;
	const logger = deps.logger.child({shard: held.shard});
	const waves = new Map<string, fleet.MachineWave>();
	const emptying = new Set<string>();
	const acquiredAt = clock.now();
	const state = {isStopped: false};

	const lose = (reason: string) => {
		if (!state.isStopped) {
			state.isStopped = true;
			deps.onLost(reason);
		}
	};

	const isBelieved = (): boolean => {
		const confirmed = deps.getConfirmed();
		return (
			!state.isStopped &&
			confirmed !== undefined &&
			getMostElapsedMs(clock, confirmed) < deps.beliefMs
		);
	};

	/** The holder before may have ordered until just before the takeover. */
	const mayOrder = (): boolean =>
		isBelieved() &&
		(held.previous === 'none' || clock.now() - acquiredAt > deps.turnoverMs);

	const storeNow = async (wave: fleet.MachineWave): Promise<boolean> => {
		const outcome = await storeWave(store, held, wave);
		if (outcome === 'lost-shard') {
			lose('the lease row has changed');
		}

		if (outcome !== 'stored') {
			logger.warn('wave not stored', {wave: wave.request.id, outcome});
		}

		return outcome === 'stored';
	};

	const readView = async (): Promise<View | undefined> => {
		const listed = await deps.machines.list(fleetPeriods.platformTimeoutMs);
		if (!listed.ok) {
			logger.warn('machines not read', {reason: listed.error.kind});
			return undefined;
		}

		const machines = new Map(listed.value.map((each) => [each.id, each]));
		const pools = new Set(
			listed.value.map(({pool}) => pool).filter((pool) => deps.hasOwner(pool)),
		);
		const loads = new Map<string, ServiceLoad>();
		await Promise.all(
			[...pools].map(async (pool) => {
				const load = await owners.readLoad(getServiceShard(pool));
				if (load) {
					loads.set(pool, load);
				}
			}),
		);
		return {
			machines,
			waveMachines: new Map(
				listed.value.map((each) => [each.id, toWaveMachine(each)]),
			),
			loads,
		};
	};

	/** Whether nothing runs on a machine any more, by its pool's owner. */
	const empty = async (
		machine: fleet.WaveMachine,
		patienceMs: number,
	): Promise<boolean> => {
		if (machine.executorId === undefined || !deps.hasOwner(machine.pool)) {
			return true;
		}

		const evacuation = await owners.evacuate(
			getServiceShard(machine.pool),
			machine.executorId,
			patienceMs,
		);
		return evacuation?.kind === 'clear';
	};

	const order = async (
		wave: fleet.MachineWave,
		machine: fleet.WaveMachine,
	): Promise<fleet.MachineWave> => {
		const answer = await deps.machines.maintain(
			{
				holder: deps.holder,
				fencingToken: held.token,
				machine: machine.id,
				wave: wave.request.id,
			},
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('maintenance ordered', {
			wave: wave.request.id,
			machine: machine.id,
			pool: machine.pool,
			executor: machine.executorId,
			outcome: answer,
		});
		return takeAnswer(wave, machine.id, answer);
	};

	const takeAnswer = (
		wave: fleet.MachineWave,
		id: string,
		answer: MachineAnswer,
	): fleet.MachineWave =>
		match(answer)
			.returnType<fleet.MachineWave>()
			.with('done', () => fleet.noteAnswered(wave, id))
			.with('busy', 'unavailable', () => fleet.takeBackMachine(wave, id))
			.with('not-in-wave', 'invalid', () => fleet.skipMachine(wave, id))
			.with('fenced', () => {
				lose('the platform has seen a higher fencing token');
				return wave;
			})
			// It may be carried out yet: it counts as away until it is back.
			.with('no-answer', () => wave)
			.exhaustive();

	const begin = async (
		wave: fleet.MachineWave,
		machine: fleet.WaveMachine,
	): Promise<fleet.MachineWave> => {
		const begun = fleet.beginMachine(wave, machine, clock.epochNow());
		if (!(await storeNow(begun)) || !mayOrder()) {
			return wave;
		}

		emptying.delete(machine.id);
		return order(begun, machine);
	};

	/** Orders again what had no answer; done twice it changes nothing. */
	const orderUnanswered = async (
		wave: fleet.MachineWave,
		view: View,
	): Promise<fleet.MachineWave> => {
		let current = wave;
		for (const [id, entry] of Object.entries(wave.begun)) {
			const machine = view.waveMachines.get(id);
			const isStillThere = machine?.executorId === entry.executorId;
			if (!entry.isAnswered && !entry.isBack && machine?.isUp && isStillThere) {
				current = await order(current, machine);
			}
		}

		return current;
	};

	const getLoad = (view: View, machine: fleet.WaveMachine) =>
		machine.executorId === undefined
			? undefined
			: view.loads.get(machine.pool)?.executors[machine.executorId];

	const emptyAndBegin = async (
		wave: fleet.MachineWave,
		view: View,
	): Promise<fleet.MachineWave> => {
		const step = fleet.stepMachineWave(
			wave,
			view.waveMachines,
			emptying,
			(machine) => getLoad(view, machine),
		);
		const pressed = fleet.isPressed(
			wave,
			view.waveMachines,
			fleetPeriods.turnMs,
			clock.epochNow(),
		);
		const patienceMs = pressed ? 0 : fleetPeriods.patienceMs;
		let current = wave;
		let {mayBegin} = step;
		for (const id of step.evacuate) {
			const machine = view.waveMachines.get(id);
			if (!machine) {
				continue;
			}

			emptying.add(id);
			const isClear = await empty(machine, patienceMs);
			if (isClear && mayBegin > 0 && mayOrder()) {
				mayBegin -= 1;
				current = await begin(current, machine);
			}
		}

		return current;
	};

	const complete = async (wave: fleet.MachineWave) => {
		const completed = {...wave, isCompleted: true};
		const isTold = await deps.status.write(
			wave.request.id,
			'completed',
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('wave completed', {
			wave: wave.request.id,
			machines: wave.request.machines.length,
			tookMs: Math.round(clock.epochNow() - wave.seenAtEpochMs),
			isTold,
		});
		if (isTold) {
			waves.set(wave.request.id, completed);
			await storeNow(completed);
		}
	};

	const runWave = async (wave: fleet.MachineWave, view: View) => {
		let current = fleet.noteMachines(wave, view.waveMachines, clock.epochNow());
		current = await orderUnanswered(current, view);
		current = await emptyAndBegin(current, view);
		waves.set(current.request.id, current);
		const {isCompleted} = fleet.stepMachineWave(
			current,
			view.waveMachines,
			emptying,
			() => undefined,
		);
		if (isCompleted && !state.isStopped) {
			await complete(current);
		}
	};

	/** Takes in waves that were asked for since the last round. */
	const noteRequests = async () => {
		for (const request of deps.listWaves()) {
			if (waves.has(request.id)) {
				continue;
			}

			const wave = fleet.createMachineWave(request, clock.epochNow());
			const isTold = await deps.status.write(
				request.id,
				'running',
				fleetPeriods.platformTimeoutMs,
			);
			if (isTold && (await storeNow(wave))) {
				waves.set(request.id, wave);
				logger.info('wave begun', {
					wave: request.id,
					machines: request.machines.length,
					durationMs: request.durationMs,
					maxAway: request.maxAway,
				});
			}
		}
	};

	const runRound = async () => {
		await noteRequests();
		const open = [...waves.values()].filter(({isCompleted}) => !isCompleted);
		if (open.length === 0) {
			return;
		}

		const view = await readView();
		for (const wave of view ? open : []) {
			if (!state.isStopped) {
				await runWave(wave, view!);
			}
		}
	};

	const load = async () => {
		while (!state.isStopped) {
			const read = await readWaves(store, logger);
			if (read) {
				for (const wave of read) {
					waves.set(wave.request.id, wave);
				}

				return;
			}

			await delay(fleetPeriods.roundMs);
		}
	};

	const run = async () => {
		await load();
		logger.info('fleet taken over', {
			fencingToken: held.token,
			previous: held.previous,
			waves: waves.size,
		});
		while (!state.isStopped) {
			if (isBelieved()) {
				await runRound();
			}

			await delay(fleetPeriods.roundMs);
		}
	};

	return {
		start() {
			runInBackground(run, deps.reportFailure);
		},
		stop() {
			state.isStopped = true;
		},
	};
};
