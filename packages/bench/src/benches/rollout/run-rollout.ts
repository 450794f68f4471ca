/** Racing operators change contracts; entries follow and acknowledge. */
import * as core from '@gullstand/core';
import type {
	acknowledgement,
	Contract,
	followedView,
	registration,
	viewChange,
} from '@gullstand/core';
import {
	createRandom,
	drawBelow,
	drawExponential,
	type Random,
} from '../../frame/random.js';
import {createClock, type Clock} from '../agreement/clock.js';
import {getHeartbeatBytes} from '../agreement/heartbeat-bytes.js';
import {
	createLink,
	createStore,
	type Link,
	type LinkFaults,
	type Store,
} from '../agreement/store.js';

/** One run. */
export type RolloutOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly changes: number;
	/** Mean time between two changes of one operator. */
	readonly meanGapMs: number;
	readonly store: LinkFaults;
	/** Part of the messages between peers that are lost. */
	readonly lostMessages: number;
	/** True pauses one entry after another for 30 s. */
	readonly hasPauses: boolean;
};

/** What a run showed. */
export type RolloutResult = {
	readonly accepted: number;
	/** Changes that lost the race and were told so. */
	readonly refused: number;
	/** From accepted to in force on every entry. */
	readonly inForceMs: readonly number[];
	/** Accepted changes that an entry never had in force. */
	readonly lost: number;
	/** Times that an entry's revision or a contract went back. */
	readonly reverted: number;
	readonly simulatedMs: number;
	readonly storeReads: number;
	readonly storeWrites: number;
	readonly storeBytes: number;
	readonly peerBytes: number;
};

type Entry = {
	readonly life: acknowledgement.EntryLife;
	followed: followedView.FollowedView;
	sequence: number;
	pausedUntil: number;
	readonly awaitedBy: Set<number>;
	readonly heard: Map<string, acknowledgement.Acknowledgement>;
	reverted: number;
	isPolling: boolean;
};

type World = RolloutOptions & {
	readonly random: Random;
	readonly clock: Clock;
	readonly data: Store;
	readonly link: Link;
	readonly log: viewChange.ViewDelta[];
	readonly nodes: readonly Entry[];
	readonly registrations: readonly registration.Registration[];
	readonly inForceMs: number[];
	readonly acceptedIds: Set<string>;
	readonly counts: {
		refused: number;
		reads: number;
		writes: number;
		storeBytes: number;
		peerBytes: number;
	};
	isDone: boolean;
};

/** HTTP head, signature and JSON-RPC frame of a message, in bytes. */
const frameBytes = 420;

const counterBytes = 120;

const operators = 4;

const customers = ['north', 'south', 'east', 'west', 'centre'];

const pauseMs = 30_000;

const createContract = (customer: string, weight: number): Contract => ({
	customer,
	weight,
	tokenHashes: [],
	services: [],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
});

const stayAwake = async ({clock}: World, entry: Entry) => {
	while (entry.pausedUntil > clock.now()) {
		await clock.sleep(entry.pausedUntil - clock.now());
	}
};

/** Brings a message to a peer, which handles it when it is awake. */
const send = async (
	world: World,
	to: Entry,
	bytes: number,
	handle: () => void,
) => {
	world.counts.peerBytes += frameBytes + bytes;
	await world.clock.sleep(1 + 2 * world.random());
	if (world.random() >= world.lostMessages) {
		await stayAwake(world, to);
		handle();
	}
};

const sendAcknowledgements = (world: World, entry: Entry) => {
	const {view} = entry.followed;
	entry.sequence += 1;
	const router = {routedRevision: view.revision, inFlight: new Map()};
	const ack = core.acknowledgement.acknowledgeRevision(
		entry.life,
		entry.sequence,
		{view, router},
	);
	entry.heard.set(ack.entry, ack);
	for (const index of entry.awaitedBy) {
		const peer = world.nodes[index]!;
		void send(world, peer, JSON.stringify(ack).length, () => {
			const known = peer.heard.get(ack.entry);
			peer.heard.set(
				ack.entry,
				known ? core.acknowledgement.updateAcknowledgement(known, ack) : ack,
			);
		});
	}
};

const countReverted = (
	before: followedView.FollowedView,
	after: followedView.FollowedView,
): number => {
	let count = after.view.revision < before.view.revision ? 1 : 0;
	for (const [customer, {weight}] of before.view.contracts) {
		const next = after.view.contracts.get(customer);
		count += !next || next.weight < weight ? 1 : 0;
	}

	return count;
};

const applyDeltas = (
	world: World,
	entry: Entry,
	deltas: readonly viewChange.ViewDelta[],
) => {
	const before = entry.followed;
	const {followed, applied, refusal} = core.followedView.applyDeltas(
		before,
		deltas,
	);
	entry.followed = followed;
	entry.reverted += countReverted(before, followed);
	if (applied.length > 0) {
		sendAcknowledgements(world, entry);
	}

	if (refusal?.kind === 'gap') {
		void poll(world, entry);
	}
};

const readLog = async (world: World, entry: Entry) => {
	world.counts.reads += 1;
	const {revision} = entry.followed.view;
	const deltas = await world.link(() => world.log.slice(revision));
	if (deltas.ok) {
		world.counts.storeBytes += JSON.stringify(deltas.value).length;
		await stayAwake(world, entry);
		applyDeltas(world, entry, deltas.value);
	}
};

const poll = async (world: World, entry: Entry) => {
	if (entry.isPolling) {
		return;
	}

	entry.isPolling = true;
	world.counts.reads += 1;
	world.counts.storeBytes += counterBytes;
	const {link, log} = world;
	const reply = await link(() => log.length);
	const applied = entry.followed.view.revision;
	if (reply.ok) {
		const verdict = core.readCheck.checkRead(applied, applied, reply.value);
		if (verdict.kind === 'newer') {
			await readLog(world, entry);
		}
	}

	entry.isPolling = false;
};

const createRegistration = ({life}: Entry): registration.Registration => ({
	address: '',
	availabilityZone: '',
	upMs: 0,
	heard: [],
	quorum: [],
	acknowledged: {...life, sequence: 0, inForce: 0, holding: []},
});

const isInForce = (
	{registrations}: World,
	{heard}: Entry,
	revision: number,
): boolean =>
	core.lagging.findLagging(registrations, heard, {revision}).length === 0;

/** Offers a change to every peer again until all have acknowledged. */
const announce = async (
	world: World,
	index: number,
	delta: viewChange.ViewDelta,
) => {
	const {clock, nodes} = world;
	const entry = nodes[index]!;
	const acceptedAt = clock.now();
	let offeredAt = Number.NEGATIVE_INFINITY;
	applyDeltas(world, entry, [delta]);
	while (!isInForce(world, entry, delta.revision)) {
		if (clock.now() - offeredAt >= offerAgainMs) {
			offeredAt = clock.now();
			const bytes = JSON.stringify(delta).length;
			for (const peer of listWaitedFor(world, entry, delta.revision)) {
				void send(world, peer, bytes, () => {
					peer.awaitedBy.add(index);
					applyDeltas(world, peer, [delta]);
					sendAcknowledgements(world, peer);
				});
			}
		}

		// The longer it has taken, the coarser the measurement may be.
		await clock.sleep(Math.max(1, (clock.now() - acceptedAt) / 50));
	}

	world.inForceMs.push(clock.now() - acceptedAt);
	for (const peer of nodes) {
		peer.awaitedBy.delete(index);
	}
};

const offerAgainMs = 500;

const listWaitedFor = ({nodes}: World, entry: Entry, revision: number) =>
	nodes.filter(
		(peer) =>
			peer !== entry &&
			(entry.heard.get(peer.life.entry)?.inForce ?? 0) < revision,
	);

type Attempt = 'accepted' | 'refused' | 'unknown';

/** One attempt of one change; a race for the counter alone is tried again. */
const commit = async (
	world: World,
	id: string,
	customer: string,
): Promise<Attempt> => {
	const {data, link, log, counts} = world;
	counts.reads += 1;
	const read = await link(() => data.read<Contract>('contract', customer)!);
	if (!read.ok) {
		return 'refused';
	}

	const contract = createContract(customer, read.value.value.weight + 1);
	const when = {kind: 'version', version: read.value.version} as const;
	counts.writes += 1;
	const reply = await link(() => {
		// The counter and the log move with the row, in one transaction.
		const isCommitted = data.commit([
			{kind: 'put', table: 'contract', key: customer, value: contract, when},
		]);
		if (isCommitted) {
			log.push({
				revision: log.length + 1,
				id,
				previousId: log.at(-1)?.id ?? '',
				author: 'ann',
				committedAt: world.clock.now(),
				changes: [{kind: 'put-contract', contract}],
			});
		}

		return isCommitted;
	});
	if (!reply.ok) {
		return 'unknown';
	}

	return reply.value ? 'accepted' : 'refused';
};

const readBack = async (world: World, id: string): Promise<Attempt> => {
	for (;;) {
		world.counts.reads += 1;
		const found = await world.link(() =>
			world.log.some((delta) => delta.id === id),
		);
		if (found.ok) {
			return found.value ? 'accepted' : 'refused';
		}
	}
};

const runOperator = async (world: World, name: number) => {
	const {clock, random, acceptedIds, counts, log} = world;
	for (let index = 0; acceptedIds.size < world.changes; index += 1) {
		await clock.sleep(drawExponential(random, world.meanGapMs));
		const id = `o${name}-${index}`;
		const customer = customers[drawBelow(random, customers.length)]!;
		const attempt = await commit(world, id, customer);
		const outcome = attempt === 'unknown' ? await readBack(world, id) : attempt;
		if (outcome === 'refused') {
			counts.refused += 1;
			continue;
		}

		acceptedIds.add(id);
		const delta = log.find((each) => each.id === id)!;
		void announce(world, drawBelow(random, world.nodes.length), delta);
	}
};

const startEntry = (world: World, entry: Entry) => {
	const {clock, random, counts} = world;
	const periods = core.periods.getPeriods(world.entries);
	const heartbeatBytes = getHeartbeatBytes(world.entries);
	const repeat = async (periodMs: number, step: () => Promise<void>) => {
		await clock.sleep(random() * periodMs);
		while (!world.isDone) {
			await stayAwake(world, entry);
			await step();
			await clock.sleep(periodMs * (0.75 + 0.5 * random()));
		}
	};

	void repeat(periods.viewPollMs, async () => poll(world, entry));
	void repeat(periods.heartbeatMs, async () => {
		counts.writes += 1;
		counts.storeBytes += heartbeatBytes;
	});
	void repeat(periods.watchMs, async () => {
		const neighbours = Math.min(
			core.neighbours.watchedEntries,
			world.entries - 1,
		);
		// The membership row is read with them.
		counts.reads += neighbours + 1;
		counts.storeBytes += neighbours * heartbeatBytes + counterBytes;
	});
};

const runPauses = async (world: World) => {
	while (!world.isDone) {
		await world.clock.sleep(2 * pauseMs);
		const entry = world.nodes[drawBelow(world.random, world.entries)]!;
		entry.pausedUntil = world.clock.now() + pauseMs;
	}
};

const createEntry = (index: number): Entry => ({
	life: {entry: `e${index}`, incarnation: 'a'},
	followed: core.followedView.emptyFollowedView,
	sequence: 0,
	pausedUntil: 0,
	awaitedBy: new Set(),
	heard: new Map(),
	reverted: 0,
	isPolling: false,
});

const createWorld = (options: RolloutOptions): World => {
	const random = createRandom(options.seed);
	const clock = createClock();
	const data = createStore();
	for (const customer of customers) {
		const value = createContract(customer, 1);
		const when = {kind: 'any'} as const;
		data.commit([{kind: 'put', table: 'contract', key: customer, value, when}]);
	}

	const nodes = Array.from({length: options.entries}, (_, i) => createEntry(i));
	return {
		...options,
		nodes,
		registrations: nodes.map((entry) => createRegistration(entry)),
		random,
		clock,
		data,
		link: createLink(clock, random, () => options.store),
		log: [],
		inForceMs: [],
		acceptedIds: new Set(),
		counts: {refused: 0, reads: 0, writes: 0, storeBytes: 0, peerBytes: 0},
		isDone: false,
	};
};

const countLost = ({acceptedIds, log, nodes}: World): number => {
	const ids = new Set(log.map(({id}) => id));
	const missing = [...acceptedIds].filter((id) => !ids.has(id)).length;
	const behind = nodes.filter(
		({followed}) => followed.view.revision !== log.length,
	).length;
	return missing + behind;
};

/** Runs until all changes are accepted and in force. */
export const runRollout = async (
	options: RolloutOptions,
): Promise<RolloutResult> => {
	const world = createWorld(options);
	const {clock, counts, nodes, inForceMs, acceptedIds} = world;
	for (const entry of nodes) {
		startEntry(world, entry);
	}

	if (options.hasPauses) {
		void runPauses(world);
	}

	for (let name = 0; name < operators; name += 1) {
		void runOperator(world, name);
	}

	await clock.run(
		Number.POSITIVE_INFINITY,
		() =>
			acceptedIds.size >= options.changes &&
			inForceMs.length >= acceptedIds.size,
	);
	const simulatedMs = clock.now();
	const used = {...counts};
	await clock.run(simulatedMs + 2 * pauseMs);
	world.isDone = true;
	return {
		accepted: acceptedIds.size,
		refused: counts.refused,
		inForceMs,
		lost: countLost(world),
		reverted: nodes.reduce((sum, {reverted}) => sum + reverted, 0),
		simulatedMs,
		storeReads: used.reads,
		storeWrites: used.writes,
		// Each call to the store has a frame of its own.
		storeBytes: used.storeBytes + frameBytes * (used.reads + used.writes),
		peerBytes: used.peerBytes,
	};
};
