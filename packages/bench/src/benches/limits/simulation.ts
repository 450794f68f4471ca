/**
 * Fake clock, event list and counts: executors that serve up to their slots
 * and queue the rest, links with a delay, and what the figures are made of.
 * It decides nothing.
 */
import * as random from '../../frame/random.js';
import type {Arrival} from './load.js';
import * as settings from './settings.js';

/** A request on its way. */
export type Request = {
	readonly arrival: Arrival;
	readonly entry: string;
	readonly deadlineMs: number;
	/** While it waits until then, it is given up. */
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
	/** What ends each request of an entry on its executor. */
	readonly open: Map<string, Set<() => void>>;
	/** Entries that the balancer sends callers to. */
	serving: string[];
	/** Waiting requests by pool, for the count of idle slots. */
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
export const schedule = (world: Simulation, atMs: number, run: () => void) => {
	const {events} = world;
	const event = {atMs: Math.max(atMs, world.nowMs), seq: world.seq++, run};
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

/** Runs events in order of time until a time. */
export const runUntil = (world: Simulation, untilMs: number) => {
	while (world.events[0] && world.events[0].atMs <= untilMs) {
		const event = takeFirst(world.events)!;
		world.nowMs = event.atMs;
		event.run();
	}
};

export const drawLink = (world: Simulation): number =>
	settings.linkMinMs + world.draw() * (settings.linkMaxMs - settings.linkMinMs);

/** Sends a message from entry to entry; lost if either is dead. */
export const send = (world: Simulation, to: string, run: () => void) => {
	world.counts.messages++;
	schedule(world, world.nowMs + drawLink(world), () => {
		if (world.alive.has(to)) {
			run();
		}
	});
};

const account = (world: Simulation, pool: number) => {
	const elapsed = world.nowMs - world.changedAtMs[pool]!;
	const slots =
		settings.pools[pool]!.executors.length * settings.slotsPerExecutor;
	const idle = slots - world.busy[pool]!;
	world.counts.idleWhileWaitingMs +=
		elapsed * Math.min(idle, world.waiting[pool]!);
	world.changedAtMs[pool] = world.nowMs;
};

/** Changes the number of requests that wait for a slot of a pool. */
export const addWaiting = (world: Simulation, pool: number, change: number) => {
	account(world, pool);
	world.waiting[pool]! += change;
};

const load = (executor: Executor) => executor.running + executor.queue.length;

const accountOvershoot = (world: Simulation, executor: Executor) => {
	if (load(executor) > settings.slotsPerExecutor) {
		world.counts.overshootMs += world.nowMs - executor.changedAtMs;
	}

	executor.changedAtMs = world.nowMs;
};

const finish = (world: Simulation, request: Request, answered: boolean) => {
	if (request.done) {
		return;
	}

	request.done = true;
	if (!answered || world.nowMs > request.deadlineMs) {
		world.counts.late++;
		const sinceLoss = request.arrival.atMs - world.lossAtMs;
		if (sinceLoss >= -1000 && sinceLoss < nearLossMs) {
			world.counts.lateNearLoss++;
		}
	}
};

/** A waiting request whose deadline has passed is answered and late. */
export const giveUp = (world: Simulation, request: Request) => {
	finish(world, request, false);
};

const leave = (world: Simulation, executor: Executor, start: () => void) => {
	account(world, executor.pool);
	accountOvershoot(world, executor);
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
		world.busy[executor.pool]!--;
	}
};

const enter = (world: Simulation, executor: Executor, start: () => void) => {
	account(world, executor.pool);
	accountOvershoot(world, executor);
	const over = load(executor) + 1 - settings.slotsPerExecutor;
	world.counts.overshootMax = Math.max(world.counts.overshootMax, over);
	if (executor.running < settings.slotsPerExecutor) {
		executor.running++;
		world.busy[executor.pool]!++;
		start();
	} else {
		executor.queue.push(start);
	}
};

/**
 * Sends a request to an executor; at its deadline the attempt is cut and the
 * executor sees the connection close a link later. `onFree` runs when the
 * executor is done; `onEnd` at the entry, if that still lives or
 * `endsWhenLost`.
 */
export const dispatch = (
	world: Simulation,
	request: Request,
	name: string,
	{
		onFree,
		onEnd,
		endsWhenLost = false,
	}: {onFree?: () => void; onEnd?: () => void; endsWhenLost?: boolean},
) => {
	const executor = world.executors.get(name)!;
	let state: 'sent' | 'there' | 'gone' = 'sent';
	let told = false;
	const tellEntry = () => {
		if (!told) {
			told = true;
			onEnd?.();
		}
	};

	const end = () => {
		if (state === 'there') {
			leave(world, executor, start);
			onFree?.();
		}

		state = 'gone';
		world.open.get(request.entry)?.delete(close);
	};

	const close = () => {
		end();
		if (endsWhenLost) {
			schedule(world, world.nowMs + drawLink(world), tellEntry);
		}
	};

	const start = () => {
		schedule(world, world.nowMs + request.arrival.serviceMs, () => {
			if (state !== 'there') {
				return;
			}

			end();
			schedule(world, world.nowMs + drawLink(world), () => {
				if (endsWhenLost && !world.alive.has(request.entry)) {
					tellEntry();
				} else if (world.alive.has(request.entry) && !request.done) {
					finish(world, request, true);
					tellEntry();
				}
			});
		});
	};

	const open = world.open.get(request.entry) ?? new Set();
	world.open.set(request.entry, open.add(close));
	schedule(world, world.nowMs + drawLink(world), () => {
		if (state === 'sent') {
			state = 'there';
			enter(world, executor, start);
		}
	});
	schedule(world, request.deadlineMs, () => {
		if (request.done || !world.alive.has(request.entry)) {
			return;
		}

		finish(world, request, false);
		schedule(world, world.nowMs + drawLink(world), end);
		schedule(world, world.nowMs + settings.slotReuseDelayMs, tellEntry);
	});
};

/** The host of a process that has ended closes its connections. */
export const closeAll = (world: Simulation, entry: string) => {
	for (const close of world.open.get(entry) ?? []) {
		schedule(world, world.nowMs + drawLink(world), close);
	}
};

/** Sets the connections that an entry has open to an executor. */
export const setConnections = (
	world: Simulation,
	entry: string,
	name: string,
	open: number,
) => {
	const executor = world.executors.get(name)!;
	executor.connections += open - (executor.connectionsOf.get(entry) ?? 0);
	executor.connectionsOf.set(entry, open);
	world.counts.connectionsMax = Math.max(
		world.counts.connectionsMax,
		executor.connections,
	);
};
