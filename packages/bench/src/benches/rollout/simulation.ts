/** Shared state of the entries and operators of the rollout bench. */
import type {
	acknowledgement,
	Contract,
	followedView,
	registration,
	viewChange,
} from '@gullstand/core';
import type {Random} from '../../frame/random.js';
import type {Clock} from '../agreement/clock.js';
import type {Link, LinkFaults, Store} from '../agreement/store.js';

/** Options of one run. */
export type RolloutOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly changes: number;
	/** Mean time between two changes of one operator. */
	readonly meanGapMs: number;
	readonly store: LinkFaults;
	/** Share of the messages between peers that is lost. */
	readonly lostMessages: number;
	/** True pauses one entry after another for 30 s. */
	readonly hasPauses: boolean;
};

/** Result of one run. */
export type RolloutResult = {
	readonly accepted: number;
	/** Changes that were refused because of a conflict. */
	readonly refused: number;
	/** Times from acceptance until in force on every entry. */
	readonly inForceMs: readonly number[];
	/** Accepted changes missing from the log, plus entries behind at the end. */
	readonly lost: number;
	/** Number of times that an entry's revision or a contract reverted. */
	readonly reverted: number;
	readonly simulatedMs: number;
	readonly storeReads: number;
	readonly storeWrites: number;
	readonly storeBytes: number;
	readonly peerBytes: number;
};

export type Entry = {
	readonly incarnation: acknowledgement.EntryIncarnation;
	followed: followedView.FollowedView;
	sequence: number;
	pausedUntil: number;
	readonly awaitedBy: Set<number>;
	readonly receivedAcknowledgements: Map<
		string,
		acknowledgement.Acknowledgement
	>;
	reverted: number;
	isPolling: boolean;
};

/** State that the entries and operators share. */
export type Simulation = RolloutOptions & {
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
export const frameBytes = 420;

/** Size of the counter row, in bytes. */
export const counterBytes = 120;

/** Creates a contract whose weight counts its changes. */
export const createContract = (customer: string, weight: number): Contract => ({
	customer,
	weight,
	tokenHashes: [],
	services: [],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
});

/** Waits while the entry is paused. */
export const waitWhilePaused = async ({clock}: Simulation, entry: Entry) => {
	while (entry.pausedUntil > clock.now()) {
		await clock.sleep(entry.pausedUntil - clock.now());
	}
};

/** Delivers a message to a peer, which handles it once it is not paused. */
export const send = async (
	simulation: Simulation,
	to: Entry,
	bytes: number,
	handle: () => void,
) => {
	simulation.counts.peerBytes += frameBytes + bytes;
	await simulation.clock.sleep(1 + 2 * simulation.random());
	if (simulation.random() >= simulation.lostMessages) {
		await waitWhilePaused(simulation, to);
		handle();
	}
};
