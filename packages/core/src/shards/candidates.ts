/**
 * Which entries keep a heartbeat: holders of shards, and a few candidates that
 * take over from them. All others are observers, so that the cost of heartbeats
 * does not grow with the number of entries. Entries that read the same
 * heartbeats agree; when they do not, there are more or fewer candidates for a
 * while. Who holds a shard is up to its lease alone.
 */
import {rankMembers} from '../limits/rendezvous.js';
import {listMostCapable, type LiveEntry} from './shard-assignment.js';

/** Candidates wanted, beside the holders. */
export const candidateCount = 4;

/** Head start of an entry over the next one in rank that joins, milliseconds. */
export const joinDelayPerRankMs = 50;

/** Longest wait of an entry before it joins, milliseconds. */
export const maxJoinDelayMs = 2000;

/** A candidate that is not needed any more stays one for so long, milliseconds. */
export const leaveDelayMs = 3000;

/** What an entry knows when it asks whether to be a candidate. */
export type CandidateInput = {
	readonly self: LiveEntry;
	/** Others whose heartbeat is young. */
	readonly live: readonly LiveEntry[];
	/** All others whose heartbeat was ever read: as many as the fleet has. */
	readonly listKnown: () => readonly LiveEntry[];
	/** Entries that hold shards. */
	readonly holders: ReadonlySet<string>;
};

/** Whether an entry is a candidate. */
export type CandidateState = {
	readonly isCandidate: boolean;
	/** Since when the opposite is wanted; absent while it is as wanted. */
	readonly changeWantedSince: number | undefined;
};

/** Of an entry that is no candidate. */
export const observerState: CandidateState = {
	isCandidate: false,
	changeWantedSince: undefined,
};

/** The most capable first, each class in an order that all entries agree on. */
const rankEntries = (entries: readonly LiveEntry[]): readonly string[] => {
	const capable = new Set(listMostCapable(entries));
	const ranked = rankMembers(
		'candidate',
		entries.map(({entry}) => entry),
	);
	return [
		...ranked.filter((entry) => capable.has(entry)),
		...ranked.filter((entry) => !capable.has(entry)),
	];
};

/** How many of the others that hold nothing go before this entry. */
const countAhead = (
	{self, holders}: CandidateInput,
	others: readonly LiveEntry[],
): number => {
	const ranked = rankEntries([...others, self]);
	return ranked
		.slice(0, ranked.indexOf(self.entry))
		.filter((entry) => !holders.has(entry)).length;
};

/** Whether fewer live entries go before this one than there should be candidates. */
export const isCandidateNeeded = (view: CandidateInput): boolean =>
	countAhead(view, view.live) < candidateCount;

/** Those that go before this one and are no candidates yet may join first. */
const getJoinDelayMs = (view: CandidateInput): number => {
	const absent =
		countAhead(view, view.listKnown()) - countAhead(view, view.live);
	return Math.min(maxJoinDelayMs, Math.max(0, absent) * joinDelayPerRankMs);
};

/** Whether an entry is a candidate from now on. */
export const stepCandidate = (
	state: CandidateState,
	view: CandidateInput,
	now: number,
): CandidateState => {
	const isWanted = isCandidateNeeded(view);
	if (isWanted === state.isCandidate) {
		return {...state, changeWantedSince: undefined};
	}

	const differsSince = state.changeWantedSince ?? now;
	const delayMs = isWanted ? getJoinDelayMs(view) : leaveDelayMs;
	return now - differsSince >= delayMs
		? {isCandidate: isWanted, changeWantedSince: undefined}
		: {...state, changeWantedSince: differsSince};
};
