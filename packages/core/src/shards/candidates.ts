/**
 * Decides which entries write heartbeats: holders of shards and a few
 * candidates that take over from them. All others are observers, so that the
 * cost of heartbeats does not grow with the number of entries. Entries that
 * read the same heartbeats agree; otherwise there are temporarily more or fewer
 * candidates. The lease alone decides who holds a shard.
 */
import {rankMembers} from '../limits/rendezvous.js';
import {listMostCapable, type LiveEntry} from './shard-assignment.js';

/** Number of candidates, holders not included. */
export const candidateCount = 4;

/**
 * Additional delay per rank before an entry becomes a candidate, in
 * milliseconds.
 */
export const joinDelayPerRankMs = 50;

/** Maximum delay before an entry becomes a candidate, in milliseconds. */
export const maxJoinDelayMs = 2000;

/**
 * Time for which a candidate that is no longer needed remains one, in
 * milliseconds.
 */
export const leaveDelayMs = 3000;

/** Input of the decision whether an entry is a candidate. */
export type CandidateInput = {
	readonly self: LiveEntry;
	/** Other entries with a recent heartbeat. */
	readonly live: readonly LiveEntry[];
	/**
	 * Lists all other entries whose heartbeat was ever read; grows with the
	 * fleet.
	 */
	readonly listKnown: () => readonly LiveEntry[];
	/** Entries that hold shards. */
	readonly holders: ReadonlySet<string>;
};

/** Whether an entry is a candidate. */
export type CandidateState = {
	readonly isCandidate: boolean;
	/**
	 * When the opposite state was first needed; `undefined` while the state is
	 * right.
	 */
	readonly changeWantedSince: number | undefined;
};

/** State of an entry that is not a candidate. */
export const observerState: CandidateState = {
	isCandidate: false,
	changeWantedSince: undefined,
};

/**
 * Ranks the most capable entries first, then the others, in an order that all
 * entries agree on.
 */
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

/** Counts the entries without shards that rank before this one. */
const countAhead = (
	{self, holders}: CandidateInput,
	others: readonly LiveEntry[],
): number => {
	const ranked = rankEntries([...others, self]);
	return ranked
		.slice(0, ranked.indexOf(self.entry))
		.filter((entry) => !holders.has(entry)).length;
};

/**
 * Whether fewer live entries rank before this one than there should be
 * candidates.
 */
export const isCandidateNeeded = (input: CandidateInput): boolean =>
	countAhead(input, input.live) < candidateCount;

/** Delays an entry so that entries of higher rank become candidates first. */
const getJoinDelayMs = (input: CandidateInput): number => {
	const missing =
		countAhead(input, input.listKnown()) - countAhead(input, input.live);
	return Math.min(maxJoinDelayMs, Math.max(0, missing) * joinDelayPerRankMs);
};

/** Decides whether an entry is a candidate from now on. */
export const stepCandidate = (
	state: CandidateState,
	input: CandidateInput,
	now: number,
): CandidateState => {
	const isWanted = isCandidateNeeded(input);
	if (isWanted === state.isCandidate) {
		return {...state, changeWantedSince: undefined};
	}

	const differsSince = state.changeWantedSince ?? now;
	const delayMs = isWanted ? getJoinDelayMs(input) : leaveDelayMs;
	return now - differsSince >= delayMs
		? {isCandidate: isWanted, changeWantedSince: undefined}
		: {...state, changeWantedSince: differsSince};
};
