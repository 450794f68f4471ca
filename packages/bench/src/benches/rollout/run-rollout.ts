/** Runs a rollout: operators change contracts, entries acknowledge them. */
import * as core from '@gullstand/core';
import {createRandom, drawBelow} from '../../frame/random.js';
import {createClock} from '../agreement/clock.js';
import {createLink, createStore} from '../agreement/store.js';
import {startEntry} from './entry.js';
import {createRegistration, customers, runOperator} from './operator.js';
import {
	createContract,
	frameBytes,
	type Entry,
	type RolloutOptions,
	type RolloutResult,
	type Simulation,
} from './simulation.js';

const operators = 4;

const pauseMs = 30_000;

const runPauses = async (simulation: Simulation) => {
	while (!simulation.isDone) {
		await simulation.clock.sleep(2 * pauseMs);
		const entry =
			simulation.nodes[drawBelow(simulation.random, simulation.entries)]!;
		entry.pausedUntil = simulation.clock.now() + pauseMs;
	}
};

const createEntry = (index: number): Entry => ({
	incarnation: {entry: `e${index}`, incarnation: 'a'},
	followed: core.followedView.emptyFollowedView,
	sequence: 0,
	pausedUntil: 0,
	awaitedBy: new Set(),
	receivedAcknowledgements: new Map(),
	reverted: 0,
	isPolling: false,
});

const createSimulation = (options: RolloutOptions): Simulation => {
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

const countLost = ({acceptedIds, log, nodes}: Simulation): number => {
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
	const simulation = createSimulation(options);
	const {clock, counts, nodes, inForceMs, acceptedIds} = simulation;
	for (const entry of nodes) {
		startEntry(simulation, entry);
	}

	if (options.hasPauses) {
		void runPauses(simulation);
	}

	for (let name = 0; name < operators; name += 1) {
		void runOperator(simulation, name);
	}

	await clock.run(
		Number.POSITIVE_INFINITY,
		() =>
			acceptedIds.size >= options.changes &&
			inForceMs.length >= acceptedIds.size,
	);
	const simulatedMs = clock.now();
	const countsAtEnd = {...counts};
	await clock.run(simulatedMs + 2 * pauseMs);
	simulation.isDone = true;
	return {
		accepted: acceptedIds.size,
		refused: counts.refused,
		inForceMs,
		lost: countLost(simulation),
		reverted: nodes.reduce((sum, {reverted}) => sum + reverted, 0),
		simulatedMs,
		storeReads: countsAtEnd.reads,
		storeWrites: countsAtEnd.writes,
		// Each call to the store is sent in its own frame.
		storeBytes:
			countsAtEnd.storeBytes +
			frameBytes * (countsAtEnd.reads + countsAtEnd.writes),
		peerBytes: countsAtEnd.peerBytes,
	};
};
