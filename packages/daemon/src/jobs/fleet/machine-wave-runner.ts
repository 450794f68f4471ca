/** Runs maintenance waves of machines. */
import {isDeepStrictEqual} from 'node:util';
import {fleet, scheduler} from '@gullstand/core';
import type {WaveRequest} from '@gullstand/ports';
import {match} from 'ts-pattern';
import {describeStoreError} from '../rows/store-error.js';
import {
	evacuateMachine,
	evacuateMissing,
	fleetPeriods,
	getClearance,
	getMachineLoad,
	releaseMachine,
	type EvacuationAnswer,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';
import {
	moveClaimant,
	toWaveClaimant,
	type MachineClaims,
} from './machine-claims.js';
import {
	createWaveCommands,
	type MaintenanceTarget,
	type WaveTargets,
} from './wave-commands.js';
import {createWaveLog} from './wave-log.js';
import {createUnlistedMachines} from './unlisted-machines.js';
import {createWaveRows, type WaveWriteOutcome} from './wave-rows.js';

/** Publishes the state of a wave to operators. */
export type WaveStatusPort = {
	readonly write: (
		wave: string,
		state: 'running' | 'completed',
		timeoutMs: number,
	) => Promise<boolean>;
};

export type MachineWaveRunner = {
	/** Loads the stored waves; resolves to false if the store does not answer. */
	readonly load: () => Promise<boolean>;
	/** Starts the requested waves that are new. */
	readonly acceptRequests: (requests: readonly WaveRequest[]) => Promise<void>;
	/** Advances the waves that are not completed. */
	readonly runRound: (view: FleetView) => Promise<void>;
	/** Whether a machine is being evacuated or maintained for a wave. */
	readonly isReserved: (machine: string) => boolean;
	/** Lets the machines serve that are evacuated and not commanded. */
	readonly releaseHolds: () => void;
};

const toWaveMachines = ({
	machines,
}: FleetView): ReadonlyMap<string, fleet.WaveMachine> =>
	new Map(
		[...machines].map(([id, machine]) => [
			id,
			{
				id,
				pool: machine.pool,
				isUp: machine.state === 'up',
				isInMaintenance: machine.state === 'maintenance',
				executorId: machine.executorId,
				...(machine.problem !== undefined && {isUnreadable: true}),
			},
		]),
	);

/**
 * Load of a machine whose owner did not answer. Its machines do not count as
 * idle, since a busy owner is the likeliest to answer late.
 */
const unknownLoad: fleet.MachineLoad = {
	runs: Number.POSITIVE_INFINITY,
	lasting: 0,
	usedCpu: 0,
};

const noWaves: ReadonlySet<string> = new Set();

/** What the queues of a service need, in thousandths of a core. */
const getNeededCpu = ({
	waitingCpu,
	usedCpu,
	arrivingCpu,
}: scheduler.ServiceLoad): number =>
	Math.max(waitingCpu + usedCpu, arrivingCpu);

export const createMachineWaveRunner = (
	context: FleetContext,
	status: WaveStatusPort,
	claims: MachineClaims,
): MachineWaveRunner => {
	const {held, store, clock, logger} = context;
	const waves = new Map<string, fleet.MachineWave>();
	/** Waves as they are stored. */
	const storedWaves = new Map<string, fleet.MachineWave>();
	const rows = createWaveRows(store, held, logger);
	const log = createWaveLog(logger);
	const unlisted = createUnlistedMachines(clock.now);
	/** Until when machines that their services need are not asked for, by id. */
	const deferredUntil = new Map<string, number>();
	/** Machines as the last round saw them. */
	let lastMachines: ReadonlyMap<string, fleet.WaveMachine> = new Map();

	const recordSaved = (
		wave: fleet.MachineWave,
		outcome: WaveWriteOutcome,
	): boolean =>
		match(outcome)
			.with({kind: 'stored'}, () => {
				storedWaves.set(wave.request.id, wave);
				return true;
			})
			.with({kind: 'not-stored'}, ({error}) => {
				logger.warn('wave not stored', {
					wave: wave.request.id,
					...describeStoreError(error),
				});
				return false;
			})
			.with({kind: 'lost-shard'}, () => {
				context.loseShard('the lease row has changed');
				return false;
			})
			.exhaustive();

	/** Stores waves; resolves to the ids of those that are stored. */
	const saveWaves = async (
		changed: readonly fleet.MachineWave[],
	): Promise<ReadonlySet<string>> => {
		const outcomes = await rows.save(changed);
		return new Set(
			changed.flatMap((wave, index) =>
				recordSaved(wave, outcomes[index]!) ? [wave.request.id] : [],
			),
		);
	};

	const commands = createWaveCommands(context, {claims, saveWaves});

	/**
	 * Lists machines that are up, whose commands have no answer, and that nothing
	 * else has.
	 */
	const listRepeats = (
		wave: fleet.MachineWave,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
		isTaken: (id: string) => boolean,
	): readonly fleet.WaveMachine[] =>
		fleet.listUnanswered(wave).flatMap((id) => {
			const machine = machines.get(id);
			const isFree = !isTaken(id);
			if (!machine?.isUp || !isFree) {
				const waitsFor = isFree ? 'machine to be up' : 'another command';
				log.reportWait(wave.request.id, id, waitsFor);
			}

			return machine?.isUp && isFree ? [machine] : [];
		});

	/** Asks for other machines first, as the service of this one needs it. */
	const defer = ({request}: fleet.MachineWave, machine: string) => {
		log.reportWait(request.id, machine, 'its service');
		deferredUntil.set(machine, clock.now() + fleetPeriods.deferMs);
		claims.release(machine, toWaveClaimant(request.id));
	};

	/** Evacuates machines; resolves to those that may get commands now. */
	const evacuate = async (
		wave: fleet.MachineWave,
		machines: readonly fleet.WaveMachine[],
		request: (machine: fleet.WaveMachine) => Promise<EvacuationAnswer>,
	): Promise<readonly MaintenanceTarget[]> => {
		const answers = await Promise.all(
			machines.map(async (machine) => request(machine)),
		);
		return machines.flatMap((machine, index) => {
			const answer = answers[index]!;
			const clearance = getClearance(answer);
			const isFree = context.commandLog.mayCommand(machine.id);
			if (answer.kind === 'deferred') {
				defer(wave, machine.id);
			} else if (!clearance || !isFree) {
				const waitsFor = clearance ? 'end of the turnover time' : 'evacuation';
				log.reportWait(wave.request.id, machine.id, waitsFor);
			}

			return clearance && isFree ? [{machine, clearance}] : [];
		});
	};

	const getLoad = (
		view: FleetView,
		machine: fleet.WaveMachine,
	): fleet.MachineLoad | undefined =>
		context.hasOwner(machine.pool) && !view.loads.has(machine.pool)
			? unknownLoad
			: getMachineLoad(view, machine);

	/** Lets tasks start again on a machine that a wave will not command. */
	const release = (
		wave: fleet.MachineWave,
		id: string,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	) => {
		const machine = machines.get(id);
		claims.release(id, toWaveClaimant(wave.request.id));
		if (machine && !fleet.hasBegun(wave, id)) {
			void releaseMachine(context, machine);
		}
	};

	/** Machines that pools can spare beside those that are taken already. */
	const countSpares = (
		view: FleetView,
	): ReadonlyMap<string, fleet.PoolSpare> => {
		const machines = [...view.machines.values()];
		const owned = new Set(
			machines.flatMap(({pool}) => (context.hasOwner(pool) ? [pool] : [])),
		);
		return fleet.countSpares(
			machines.map(({id, pool, state, capacity}) => {
				const claimant = claims.getClaimant(id);
				const isLeaving = claims.isLeaving(id) || claimant === moveClaimant;
				const isAway = state === 'maintenance' || state === 'moving';
				return {
					pool,
					isServing: state === 'up' && claimant === undefined && !isLeaving,
					isReturning: !isLeaving && (isAway || claimant !== undefined),
					cpuMillis: capacity.cpuMillis,
				};
			}),
			new Map(
				[...owned].map((pool) => {
					const load = view.loads.get(pool);
					return [pool, load ? getNeededCpu(load) : 'unknown'] as const;
				}),
			),
		);
	};

	/** Claims the machines that are away for a wave and those given, no others. */
	const claimOnly = (wave: fleet.MachineWave, ids: readonly string[]) => {
		const claimant = toWaveClaimant(wave.request.id);
		const claimed = new Set([...fleet.listAway(wave), ...ids]);
		for (const id of claims.listClaimed(claimant)) {
			if (!claimed.has(id)) {
				release(wave, id, lastMachines);
			}
		}

		for (const id of claimed) {
			claims.claim(id, claimant);
		}
	};

	/**
	 * Evacuates machines of a wave; resolves to those to command now. Claims them
	 * before it waits, so that waves can be advanced concurrently.
	 */
	const chooseTargets = async (
		wave: fleet.MachineWave,
		view: FleetView,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<readonly MaintenanceTarget[]> => {
		const claimant = toWaveClaimant(wave.request.id);
		const isTaken = (id: string) =>
			claims.isTaken(id, claimant, view.requestedAt);
		const mayLeave = (id: string) =>
			context.commandLog.mayCommand(id) &&
			clock.now() >= (deferredUntil.get(id) ?? Number.NEGATIVE_INFINITY);
		const step = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating: claims.listClaimed(claimant),
				isTaken: (id) => isTaken(id) || !mayLeave(id),
				spares: countSpares(view),
				isLeaving: claims.isLeaving,
				getLoad: (machine) => getLoad(view, machine),
				turnaroundMs: fleetPeriods.machineTurnaroundMs,
			},
			clock.epochNow(),
		);
		const isShortOfTime = fleet.isShortOfTime(
			wave,
			machines,
			fleetPeriods.machineTurnaroundMs,
			clock.epochNow(),
		);
		const {normal, urgent, commanded} = scheduler.evacuationUrgencies;
		const terms = {
			claimant,
			patienceMs: isShortOfTime ? 0 : fleetPeriods.evacuationGraceMs,
			urgency: isShortOfTime ? urgent : normal,
		};
		const repeatTerms = {...terms, urgency: commanded};
		const toEvacuate = step.evacuate.flatMap((id) => machines.get(id) ?? []);
		const missing = fleet
			.listUnfinished(wave)
			.flatMap((id) =>
				machines.has(id) || isTaken(id)
					? []
					: (unlisted.findDue(wave, id) ?? []),
			);
		const chosen = [...toEvacuate, ...missing].map(({id}) => id);
		claimOnly(wave, chosen);
		const [repeats, starts, asked] = await Promise.all([
			evacuate(wave, listRepeats(wave, machines, isTaken), async (machine) =>
				evacuateMachine(context, machine, repeatTerms),
			),
			evacuate(wave, toEvacuate, async (machine) =>
				evacuateMachine(context, machine, terms),
			),
			evacuate(wave, missing, async (machine) =>
				evacuateMissing(
					context,
					machine,
					fleet.hasBegun(wave, machine.id) ? repeatTerms : terms,
				),
			),
		]);
		for (const {machine} of asked) {
			unlisted.recordAsked(wave, machine.id);
		}

		const isBegun = ({machine}: MaintenanceTarget) =>
			fleet.hasBegun(wave, machine.id);
		return [
			...repeats,
			...asked.filter((each) => isBegun(each)),
			...[...starts, ...asked.filter((each) => !isBegun(each))].slice(
				0,
				step.maxStarts,
			),
		];
	};

	const complete = async (wave: fleet.MachineWave) => {
		const {id, machines} = wave.request;
		const isStatusWritten = await status.write(
			id,
			'completed',
			fleetPeriods.platformTimeoutMs,
		);
		logger.info('wave completed', {
			wave: id,
			machines: machines.length,
			tookMs: Math.round(clock.epochNow() - wave.seenAtEpochMs),
			isTold: isStatusWritten,
		});
		if (isStatusWritten) {
			const completed = {...wave, isCompleted: true};
			waves.set(id, completed);
			claimOnly(completed, []);
			unlisted.forget(completed);
			await saveWaves([completed]);
		}
	};

	/** Stores the waves that have changed, so that the next holder repeats nothing. */
	const saveChanges = async (advanced: readonly fleet.MachineWave[]) => {
		const changed = advanced.filter(
			(wave) => !isDeepStrictEqual(wave, storedWaves.get(wave.request.id)),
		);
		if (changed.length > 0 && context.mayCommand()) {
			await saveWaves(changed);
		}
	};

	/** Lets tasks start again on the executor that the last command named. */
	const releaseExecutor = (
		entry: fleet.MachineMaintenance | undefined,
		machine: fleet.WaveMachine | undefined,
	) => {
		if (machine && machine.executorId === entry?.executorId) {
			void releaseMachine(context, machine);
		}
	};

	const advance = async (
		wave: fleet.MachineWave,
		view: FleetView,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<WaveTargets> => {
		const viewedAt = clock.epochNow() - (clock.now() - view.requestedAt);
		const observed = fleet.observeMachines(wave, machines, viewedAt);
		log.reportListed(observed, machines);
		const targets = await chooseTargets(observed, view, machines);
		return {wave: observed, targets};
	};

	/** Applies what a round changed; resolves to the wave if it is still open. */
	const finishRound = async (
		before: fleet.MachineWave,
		current: fleet.MachineWave,
		machines: ReadonlyMap<string, fleet.WaveMachine>,
	): Promise<fleet.MachineWave | undefined> => {
		for (const id of fleet.listFinished(before, current)) {
			log.reportFinished(current, id, machines);
			releaseExecutor(fleet.getMaintenance(current, id), machines.get(id));
		}

		waves.set(current.request.id, current);
		if (fleet.isWaveCompleted(current, machines) && !context.isStopped()) {
			await complete(current);
			return undefined;
		}

		return current;
	};

	const acceptRequest = async (request: WaveRequest) => {
		const wave = fleet.createMachineWave(request, clock.epochNow());
		const isStatusWritten = await status.write(
			request.id,
			'running',
			fleetPeriods.platformTimeoutMs,
		);
		const stored = isStatusWritten ? await saveWaves([wave]) : noWaves;
		if (stored.has(request.id)) {
			waves.set(request.id, wave);
			const {id, machines, durationMs, maxAway} = request;
			logger.info('wave started', {
				wave: id,
				machines: machines.length,
				durationMs,
				maxAway,
			});
		}
	};

	return {
		async load() {
			const read = await rows.load();
			for (const wave of read ?? []) {
				waves.set(wave.request.id, wave);
				storedWaves.set(wave.request.id, wave);
			}

			return read !== undefined;
		},
		async acceptRequests(requests) {
			for (const request of requests) {
				if (!waves.has(request.id)) {
					await acceptRequest(request);
				}
			}
		},
		async runRound(view) {
			const open = [...waves.values()].filter(({isCompleted}) => !isCompleted);
			const machines = toWaveMachines(view);
			lastMachines = machines;
			unlisted.observe(open, machines);
			for (const wave of open) {
				for (const id of fleet.listAway(wave)) {
					claims.claim(id, toWaveClaimant(wave.request.id));
				}
			}

			const batches = await Promise.all(
				open.map(async (wave) => advance(wave, view, machines)),
			);
			const advanced = await commands.send(batches);
			const stillOpen = await Promise.all(
				advanced.map(async (wave, index) =>
					finishRound(open[index]!, wave, machines),
				),
			);
			await saveChanges(stillOpen.flatMap((wave) => wave ?? []));
		},
		releaseHolds() {
			for (const wave of waves.values()) {
				claimOnly(wave, []);
			}
		},
		isReserved(machine) {
			const claimant = claims.getClaimant(machine);
			return claimant !== undefined && claimant !== moveClaimant;
		},
	};
};
