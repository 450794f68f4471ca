/**
 * Event simulation of executors with slots and queues and of links with delays.
 * Strategies decide; the simulation counts the figures.
 */
import * as random from '../../frame/random.js';
import type {Arrival} from './load.js';
import * as settings from './settings.js';

/** A request in the simulation. */
export type Request = {
	readonly arrival: Arrival;
	readonly entry: string;
	readonly deadlineMs: number;
	/** Time at which it is given up if it still waits. */
	readonly giveUpAtMs: number;
	done: boolean;
};

type Event = {
	readonly atMs: number;
	readonly seq: number;
	readonly run: () => void;
};

type Executor = {
	readonly name: string;
	readonly pool: number;
	running: number;
	readonly queue: Array<() => void>;
	changedAtMs: number;
	connections: number;
	readonly connectionsOf: Map<string, number>;
};

/** Sums over one run. */
export type Counts = {
	requests: number;
	late: number;
	lateNearLoss: number;
	lostWithEntry: number;
	messages: number;
	overshootMax: number;
	overshootMs: number;
	idleWhileWaitingMs: number;
	connectionsMax: number;
};

/** The state of one run. */
export type Simulation = {
	nowMs: number;
	readonly draw: random.Random;
	readonly events: Event[];
	seq: number;
	readonly executors: Map<string, Executor>;
	readonly alive: Set<string>;
	/** Callbacks that end the requests of each entry on its executors. */
	readonly open: Map<string, Set<() => void>>;
	/** Entries that the balancer sends callers to. */
	serving: string[];
	/** Number of waiting requests by pool. */
	readonly waiting: number[];
	readonly busy: number[];
	readonly changedAtMs: number[];
	readonly counts: Counts;
	lossAtMs: number;
};

const nearLossMs = 10_000;

export const createSimulation = (
	seed: number,
	entries: readonly string[],
): Simulation => ({
	nowMs: 0,
	draw: random.createRandom(seed),
	events: [],
	seq: 0,
	executors: new Map(
		settings.pools.flatMap((pool, index) =>
			pool.executors.map((name) => [
				name,
				{
					name,
					pool: index,
					running: 0,
					queue: [],
					changedAtMs: 0,
					connections: 0,
					connectionsOf: new Map(),
				},
			]),
		),
	),
	alive: new Set(entries),
	open: new Map(),
	serving: [...entries],
	waiting: settings.pools.map(() => 0),
	busy: settings.pools.map(() => 0),
	changedAtMs: settings.pools.map(() => 0),
	counts: {
		requests: 0,
		late: 0,
		lateNearLoss: 0,
		lostWithEntry: 0,
		messages: 0,
		overshootMax: 0,
		overshootMs: 0,
		idleWhileWaitingMs: 0,
		connectionsMax: 0,
	},
	lossAtMs: Number.POSITIVE_INFINITY,
});

const isBefore = (a: Event, b: Event) =>
	a.atMs < b.atMs || (a.atMs === b.atMs && a.seq < b.seq);

/** Adds an event to the binary heap. */
export const schedule = (
	simulation: Simulation,
	atMs: number,
	run: () => void,
) => {
	const {events} = simulation;
	const event = {
		atMs: Math.max(atMs, simulation.nowMs),
		seq: simulation.seq++,
		run,
	};
	let index = events.length;
	events.push(event);
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (isBefore(events[parent]!, event)) {
			break;
		}

		events[index] = events[parent]!;
		index = parent;
	}

	events[index] = event;
};

const takeFirst = (events: Event[]): Event | undefined => {
	const first = events[0];
	const last = events.pop();
	if (!first || !last || events.length === 0) {
		return first;
	}

	let index = 0;
	for (;;) {
		let child = 2 * index + 1;
		if (child >= events.length) {
			break;
		}

		if (
			child + 1 < events.length &&
			isBefore(events[child + 1]!, events[child]!)
		) {
			child++;
		}

		if (isBefore(last, events[child]!)) {
			break;
		}

		events[index] = events[child]!;
		index = child;
	}

	events[index] = last;
	return first;
};

/** Runs events in order until a time. */
export const runUntil = (simulation: Simulation, untilMs: number) => {
	while (simulation.events[0] && simulation.events[0].atMs <= untilMs) {
		const event = takeFirst(simulation.events)!;
		simulation.nowMs = event.atMs;
		event.run();
	}
};

export const drawLink = (simulation: Simulation): number =>
	settings.linkMinMs +
	simulation.draw() * (settings.linkMaxMs - settings.linkMinMs);

/** Sends a message to an entry; it is lost if the entry is not alive. */
export const send = (simulation: Simulation, to: string, run: () => void) => {
	simulation.counts.messages++;
	schedule(simulation, simulation.nowMs + drawLink(simulation), () => {
		if (simulation.alive.has(to)) {
			run();
		}
	});
};

const addIdleTime = (simulation: Simulation, pool: number) => {
	const elapsed = simulation.nowMs - simulation.changedAtMs[pool]!;
	const slots =
		settings.pools[pool]!.executors.length * settings.slotsPerExecutor;
	const idle = slots - simulation.busy[pool]!;
	simulation.counts.idleWhileWaitingMs +=
		elapsed * Math.min(idle, simulation.waiting[pool]!);
	simulation.changedAtMs[pool] = simulation.nowMs;
};

/** Changes the number of requests that wait for a slot of a pool. */
export const addWaiting = (
	simulation: Simulation,
	pool: number,
	change: number,
) => {
	addIdleTime(simulation, pool);
	simulation.waiting[pool]! += change;
};

const load = (executor: Executor) => executor.running + executor.queue.length;

const addOvershootTime = (simulation: Simulation, executor: Executor) => {
	if (load(executor) > settings.slotsPerExecutor) {
		simulation.counts.overshootMs += simulation.nowMs - executor.changedAtMs;
	}

	executor.changedAtMs = simulation.nowMs;
};

const finish = (
	simulation: Simulation,
	request: Request,
	answered: boolean,
) => {
	if (request.done) {
		return;
	}

	request.done = true;
	if (!answered || simulation.nowMs > request.deadlineMs) {
		simulation.counts.late++;
		const sinceLoss = request.arrival.atMs - simulation.lossAtMs;
		if (sinceLoss >= -1000 && sinceLoss < nearLossMs) {
			simulation.counts.lateNearLoss++;
		}
	}
};

/** Ends a waiting request without an answer and counts it as late. */
export const giveUp = (simulation: Simulation, request: Request) => {
	finish(simulation, request, false);
};

const leaveExecutor = (
	simulation: Simulation,
	executor: Executor,
	start: () => void,
) => {
	addIdleTime(simulation, executor.pool);
	addOvershootTime(simulation, executor);
	const index = executor.queue.indexOf(start);
	if (index !== -1) {
		executor.queue.splice(index, 1);
		return;
	}

	const next = executor.queue.shift();
	if (next) {
		next();
	} else {
		executor.running--;
		simulation.busy[executor.pool]!--;
	}
};

const enterExecutor = (
	simulation: Simulation,
	executor: Executor,
	start: () => void,
) => {
	addIdleTime(simulation, executor.pool);
	addOvershootTime(simulation, executor);
	const over = load(executor) + 1 - settings.slotsPerExecutor;
	simulation.counts.overshootMax = Math.max(
		simulation.counts.overshootMax,
		over,
	);
	if (executor.running < settings.slotsPerExecutor) {
		executor.running++;
		simulation.busy[executor.pool]!++;
		start();
	} else {
		executor.queue.push(start);
	}
};

/**
 * Sends a request to an executor. At its deadline the attempt is cancelled, and
 * the executor sees the connection close after the link delay. `onFree` runs
 * when the executor is done, `onEnd` when the entry learns of the end; a lost
 * entry learns of it only if `endsWhenLost`.
 */
export const dispatch = (
	simulation: Simulation,
	request: Request,
	name: string,
	{
		onFree,
		onEnd,
		endsWhenLost = false,
	}: {onFree?: () => void; onEnd?: () => void; endsWhenLost?: boolean},
) => {
	const executor = simulation.executors.get(name)!;
	let state: 'sent' | 'there' | 'gone' = 'sent';
	let isNotified = false;
	const notifyEntry = () => {
		if (!isNotified) {
			isNotified = true;
			onEnd?.();
		}
	};

	const end = () => {
		if (state === 'there') {
			leaveExecutor(simulation, executor, start);
			onFree?.();
		}

		state = 'gone';
		simulation.open.get(request.entry)?.delete(close);
	};

	const close = () => {
		end();
		if (endsWhenLost) {
			schedule(
				simulation,
				simulation.nowMs + drawLink(simulation),
				notifyEntry,
			);
		}
	};

	const start = () => {
		schedule(simulation, simulation.nowMs + request.arrival.serviceMs, () => {
			if (state !== 'there') {
				return;
			}

			end();
			schedule(simulation, simulation.nowMs + drawLink(simulation), () => {
				if (endsWhenLost && !simulation.alive.has(request.entry)) {
					notifyEntry();
				} else if (simulation.alive.has(request.entry) && !request.done) {
					finish(simulation, request, true);
					notifyEntry();
				}
			});
		});
	};

	const open = simulation.open.get(request.entry) ?? new Set();
	simulation.open.set(request.entry, open.add(close));
	schedule(simulation, simulation.nowMs + drawLink(simulation), () => {
		if (state === 'sent') {
			state = 'there';
			enterExecutor(simulation, executor, start);
		}
	});
	schedule(simulation, request.deadlineMs, () => {
		if (request.done || !simulation.alive.has(request.entry)) {
			return;
		}

		finish(simulation, request, false);
		schedule(simulation, simulation.nowMs + drawLink(simulation), end);
		schedule(
			simulation,
			simulation.nowMs + settings.slotReuseDelayMs,
			notifyEntry,
		);
	});
};

/** Closes the connections of an entry whose process has ended. */
export const closeAll = (simulation: Simulation, entry: string) => {
	for (const close of simulation.open.get(entry) ?? []) {
		schedule(simulation, simulation.nowMs + drawLink(simulation), close);
	}
};

/** Sets the number of open connections of an entry to an executor. */
export const setConnections = (
	simulation: Simulation,
	entry: string,
	name: string,
	open: number,
) => {
	const executor = simulation.executors.get(name)!;
	executor.connections += open - (executor.connectionsOf.get(entry) ?? 0);
	executor.connectionsOf.set(entry, open);
	simulation.counts.connectionsMax = Math.max(
		simulation.counts.connectionsMax,
		executor.connections,
	);
};
