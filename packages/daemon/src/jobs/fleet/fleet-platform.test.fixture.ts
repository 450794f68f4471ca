/** A platform of machines with faults and a clock that tests advance. */
import type {scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import {noLogger} from '../job-daemon.test.fixture.js';
import {fleetShard} from '../rows/tables.js';
import type {FleetContext, FleetView} from './fleet-context.js';

/** Duration of each maintenance and each move, in milliseconds. */
const outageMs = 2000;

/** How long the owner takes to learn that an executor has ended. */
const ownerLagMs = 500;

/** How long nothing starts on a clear executor, in milliseconds. */
const reservationMs = 5000;

/** What becomes of a command beside what the platform would do with it. */
export type CommandFault = {
	readonly answer: ports.MachineAnswer;
	/** When it is carried out after all, if ever, in milliseconds. */
	readonly carriedOutAfterMs?: number;
};

/** A command as the platform received it. */
export type ReceivedCommand = {
	readonly at: number;
	/** The wave, or the target pool of a move. */
	readonly by: string;
	readonly machine: string;
};

type Outage = {
	readonly until: number;
	readonly pool: string;
	/** The wave whose maintenance it is. */
	readonly wave: string | undefined;
};

export type FleetPlatform = {
	readonly context: FleetContext;
	readonly store: ports.MemoryRowStore;
	readonly commands: readonly ReceivedCommand[];
	/** When the evacuation of each machine was requested, in milliseconds. */
	readonly evacuations: ReadonlyMap<string, readonly number[]>;
	/** Machines whose evacuation was released. */
	readonly released: readonly string[];
	/** Broken invariants, in words. */
	readonly violations: readonly string[];
	/** Waves that were shown as completed. */
	readonly completed: ReadonlySet<string>;
	readonly status: {
		readonly write: (wave: string, state: string) => Promise<boolean>;
	};
	readonly requestWave: (request: ports.WaveRequest) => void;
	readonly now: () => number;
	readonly advance: (ms: number) => void;
	readonly getView: () => FleetView;
	readonly getMachine: (id: string) => ports.Machine | undefined;
	/** Applies to the next command for the machine that has no fault yet. */
	readonly failNext: (machine: string, fault: CommandFault) => void;
	/** Replaces the executor of a machine, as a crash does. */
	readonly crash: (machine: string) => void;
	/** Moves a machine as another command would. */
	readonly move: (machine: string, pool: string) => void;
	readonly remove: (machine: string) => void;
	/** Leaves a machine out of the list, or lists it again. */
	readonly setListed: (machine: string, isListed: boolean) => void;
	/** For how long the current executor of a machine leaves calls unanswered. */
	readonly setSilent: (machine: string, forMs: number) => void;
	/** Whether the owner knows the executors; it does by default. */
	readonly setKnown: (machine: string, isKnown: boolean) => void;
	/** Whether tasks run on the current executor of a machine. */
	readonly setBusy: (machine: string, isBusy: boolean) => void;
	/** Whether the owner says that its service can't do without a machine. */
	readonly setNeeded: (machine: string, isNeeded: boolean) => void;
	/** Until when the turnover time of a machine lasts, in milliseconds. */
	readonly setTurnover: (machine: string, until: number) => void;
	/** Changes the load that the owner of the service reports. */
	readonly setLoad: (load: Partial<scheduler.ServiceLoad>) => void;
};

export const createFleetPlatform = (ids: readonly string[]): FleetPlatform => {
	const store = ports.createMemoryRowStore();
	const machines = new Map<string, ports.Machine>();
	const outages = new Map<string, Outage>();
	const faults = new Map<string, CommandFault[]>();
	const late: Array<{at: number; run: () => void}> = [];
	const unlisted = new Set<string>();
	const busy = new Set<string>();
	const silent = new Map<string, number>();
	const unknown = new Set<string>();
	const needed = new Set<string>();
	const turnovers = new Map<string, number>();
	const released: string[] = [];
	/** When each executor ended, in milliseconds. */
	const endedAt = new Map<string, number>();
	const requests = new Map<string, ports.WaveRequest>();
	/** Pairs of wave and machine whose maintenance has begun. */
	const maintained = new Set<string>();
	const commands: ReceivedCommand[] = [];
	const evacuations = new Map<string, number[]>();
	const violations: string[] = [];
	const completed = new Set<string>();
	let now = 0;
	let executors = 0;
	let reported: Partial<scheduler.ServiceLoad> = {};

	const createExecutor = () => `e-${executors++}`;

	/** Changes a machine that runs another executor, or none, from now on. */
	const replaceExecutor = (
		machine: ports.Machine,
		changes: Partial<ports.Machine>,
	) => {
		if (machine.executorId !== undefined) {
			endedAt.set(machine.executorId, now);
		}

		machines.set(machine.id, {...machine, ...changes});
	};

	for (const id of ids) {
		machines.set(id, {
			id,
			pool: 's',
			state: 'up',
			availabilityZone: 'z',
			labels: [],
			capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 0},
			executorId: createExecutor(),
		});
	}

	const checkStart = (machine: ports.Machine, wave: string | undefined) => {
		if (busy.has(machine.executorId ?? '')) {
			violations.push(`${machine.id} is taken while something runs there`);
		}

		const maxAway = requests.get(wave ?? '')?.maxAway ?? 1;
		const away = [...outages.values()].filter((each) => each.wave === wave);
		if (wave !== undefined && away.length >= maxAway) {
			violations.push(`${machine.id} exceeds the machines that may be away`);
		}
	};

	const takeOut = (id: string, pool: string, wave: string | undefined) => {
		const machine = machines.get(id);
		if (!machine) {
			return 'invalid';
		}

		const isDone =
			wave === undefined
				? machine.pool === pool
				: maintained.has(`${wave} ${id}`);
		if (isDone) {
			return 'done';
		}

		if (machine.state !== 'up') {
			return 'busy';
		}

		checkStart(machine, wave);
		maintained.add(`${wave} ${id}`);
		outages.set(id, {until: now + outageMs, pool, wave});
		replaceExecutor(machine, {
			pool,
			state: wave === undefined ? 'moving' : 'maintenance',
			executorId: undefined,
		});
		return 'done';
	};

	const receive = (
		by: string,
		machine: string,
		run: () => ports.MachineAnswer,
	): ports.MachineAnswer => {
		commands.push({at: now, by, machine});
		const fault = faults.get(machine)?.shift();
		if (!fault) {
			return run();
		}

		if (fault.carriedOutAfterMs === 0) {
			run();
		} else if (fault.carriedOutAfterMs !== undefined) {
			late.push({at: now + fault.carriedOutAfterMs, run});
		}

		return fault.answer;
	};

	const runDue = () => {
		for (const each of late.filter(({at}) => at <= now)) {
			late.splice(late.indexOf(each), 1);
			each.run();
		}

		for (const [id, {until, pool}] of outages) {
			const machine = machines.get(id);
			if (machine && until <= now) {
				outages.delete(id);
				replaceExecutor(machine, {
					pool,
					state: 'up',
					executorId: createExecutor(),
				});
			}
		}
	};

	const listMachines = () =>
		[...machines.values()].filter(({id}) => !unlisted.has(id));

	const getLoad = (): scheduler.ServiceLoad => ({
		waitingCpu: 0,
		usedCpu: 0,
		capacityCpu: 0,
		late: {waitingCpu: 0, usedCpu: 0, work: 0},
		arrivingCpu: 0,
		minExecutors: 0,
		executors: Object.fromEntries(
			[...machines.values()].flatMap(({executorId: id}) => {
				const runs = Number(busy.has(id ?? ''));
				return id === undefined || unknown.has(id)
					? []
					: [[id, {runs, lasting: 0, usedCpu: runs}]];
			}),
		),
		silent: Object.fromEntries(silent),
		...reported,
	});

	const evacuate = (executorId: string): scheduler.EvacuationState => {
		const machine = [...machines.values()].find(
			(each) => each.executorId === executorId,
		);
		if (machine) {
			const {id} = machine;
			evacuations.set(id, [...(evacuations.get(id) ?? []), now]);
		}

		if (
			!machine &&
			now - (endedAt.get(executorId) ?? -ownerLagMs) >= ownerLagMs
		) {
			return {kind: 'unknown-executor'};
		}

		if (machine && needed.has(machine.id)) {
			return {kind: 'deferred'};
		}

		return busy.has(executorId)
			? {kind: 'waiting', runs: 1}
			: {kind: 'clear', remainingMs: reservationMs};
	};

	const context: FleetContext = {
		held: {
			shard: fleetShard,
			token: 1,
			version: 0,
			previous: 'silent',
			previousHolder: undefined,
		},
		holder: 'd',
		store,
		machines: {
			list: async () => ({ok: true, value: listMachines()}),
			move: async ({machine, pool}) =>
				receive(pool, machine, () => takeOut(machine, pool, undefined)),
			maintain: async ({machine, wave}) =>
				receive(wave, machine, () =>
					takeOut(machine, machines.get(machine)?.pool ?? '', wave),
				),
		},
		owners: {
			evacuate: async (_shard: string, executorId: string) =>
				evacuate(executorId),
			async releaseEvacuation(_shard: string, executorId: string) {
				released.push(
					...[...machines.values()].flatMap((each) =>
						each.executorId === executorId ? [each.id] : [],
					),
				);
			},
			readLoad: async () => getLoad(),
		} as unknown as FleetContext['owners'],
		clock: {now: () => now, epochNow: () => now},
		logger: noLogger,
		hasOwner: (service) => service !== 'standby',
		mayCommand: () => true,
		commandLog: {
			load: async () => true,
			listFitting: (ids) => ids,
			record: async () => true,
			mayCommand: (machine) => now >= (turnovers.get(machine) ?? 0),
		},
		isStopped: () => false,
		loseShard: () => undefined,
	};

	return {
		context,
		store,
		commands,
		evacuations,
		released,
		violations,
		completed,
		status: {
			async write(wave, state) {
				if (state === 'completed') {
					completed.add(wave);
					for (const machine of requests.get(wave)?.machines ?? []) {
						if (
							machines.has(machine) &&
							!maintained.has(`${wave} ${machine}`)
						) {
							violations.push(`${machine} has not begun maintenance`);
						}
					}
				}

				return true;
			},
		},
		requestWave(request) {
			requests.set(request.id, request);
		},
		now: () => now,
		advance(ms) {
			now += ms;
			runDue();
		},
		getView: () => ({
			requestedAt: now,
			machines: new Map(listMachines().map((each) => [each.id, each])),
			loads: new Map([['s', getLoad()]]),
		}),
		getMachine: (id) => machines.get(id),
		failNext(machine, fault) {
			faults.set(machine, [...(faults.get(machine) ?? []), fault]);
		},
		crash(id) {
			const machine = machines.get(id);
			if (machine) {
				replaceExecutor(machine, {executorId: createExecutor()});
			}
		},
		move(id, pool) {
			takeOut(id, pool, undefined);
		},
		remove(id) {
			machines.delete(id);
			outages.delete(id);
		},
		setListed(machine, isListed) {
			if (isListed) {
				unlisted.delete(machine);
			} else {
				unlisted.add(machine);
			}
		},
		setSilent(id, forMs) {
			silent.set(machines.get(id)?.executorId ?? '', forMs);
		},
		setKnown(id, isKnown) {
			const executorId = machines.get(id)?.executorId ?? '';
			if (isKnown) {
				unknown.delete(executorId);
			} else {
				unknown.add(executorId);
			}
		},
		setBusy(id, isBusy) {
			const executorId = machines.get(id)?.executorId ?? '';
			if (isBusy) {
				busy.add(executorId);
			} else {
				busy.delete(executorId);
			}
		},
		setNeeded(machine, isNeeded) {
			if (isNeeded) {
				needed.add(machine);
			} else {
				needed.delete(machine);
			}
		},
		setTurnover(machine, until) {
			turnovers.set(machine, until);
		},
		setLoad(load) {
			reported = load;
		},
	};
};
