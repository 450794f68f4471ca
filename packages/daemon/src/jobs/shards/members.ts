/**
 * Daemons of the fleet by their heartbeats, as one daemon sees them. Only
 * holders of shards and candidates send heartbeats all the time, so that a
 * daemon that is not known may well live.
 */
import type {shardAssignment} from '@gullstand/core';
import type {ChangedRow, FeedBatch} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {RowFaults} from '../rows/row-faults.js';
import {
	daemonSchema,
	decodeRow,
	tables,
	type DaemonRow,
} from '../rows/tables.js';

/** One daemon. */
export type Member = DaemonRow & {
	readonly name: string;
	/** When its heartbeat was last seen to change, by the own clock. */
	readonly changedAt: number;
	/** Since when this life of it is seen without a break. */
	readonly liveSince: number;
};

/** What is known of all daemons. */
export type Members = {
	readonly applyChanges: (batch: FeedBatch<ChangedRow>) => void;
	readonly get: (name: string) => Member | undefined;
	/**
	 * Whether the heartbeats are read as of a version of the store, so that they
	 * say something about what was written there by then.
	 */
	readonly isReadUpTo: (version: number) => boolean;
	/**
	 * How long a daemon's heartbeat has stood still, since the first read if none
	 * of it was read; 0 while nothing is read: then this daemon may be the one
	 * that is cut off.
	 */
	readonly getUnresponsiveMs: (name: string) => number;
	/** How long a life of a daemon is seen without a break; 0 if unknown. */
	readonly getLiveForMs: (name: string) => number;
	/** Takes in that a life of a daemon is stopping. */
	readonly noteLeaving: (name: string, incarnation: string) => void;
	/**
	 * Names of those whose heartbeat is younger than `withinMs`, without those
	 * that are stopping: these still send heartbeats and claim nothing.
	 */
	readonly listLive: (withinMs: number) => readonly string[];
	/** Names of all, the one heard of last in front. */
	readonly listAll: () => readonly string[];
};

/** Others of these names, with what their machines have. */
export const toLiveEntries = (
	members: Pick<Members, 'get'>,
	names: readonly string[],
	self: string,
): readonly shardAssignment.LiveEntry[] =>
	names
		.filter((entry) => entry !== self)
		.map((entry) => ({entry, capacity: members.get(entry)?.capacity}));

/** What the members are kept with. */
export type MembersDeps = {
	readonly now: () => number;
	/** A longer gap between two reads proves no daemon silent. */
	readonly observationGapMs: number;
	readonly logger: Pick<Logger, 'info'>;
	readonly rowFaults: RowFaults;
};

/** Names in a line about daemons that were seen. */
const maxNamesTold = 5;

/** Creates an empty list of members. */
export const createMembers = (deps: MembersDeps): Members => {
	const {now, logger, rowFaults} = deps;
	const known = new Map<string, Member>();
	/** Lives that are stopping, by daemon. */
	const leaving = new Map<string, string>();
	let readAt: number | undefined;
	/** Since when the heartbeats are read without a gap. */
	let readSince: number | undefined;
	let readVersion = 0;

	/** The store was away, or this daemon was: nobody's silence counts. */
	const forgiveGap = () => {
		const at = now();
		if (readAt !== undefined && at - readAt > deps.observationGapMs) {
			for (const [name, member] of known) {
				known.set(name, {...member, changedAt: at, liveSince: at});
			}

			readSince = at;
		}

		readAt = at;
		readSince ??= at;
	};

	const noteRow = ({key, value}: ChangedRow, newLives: string[]) => {
		const decoded =
			value === undefined ? undefined : decodeRow(daemonSchema, value);
		if (decoded && !decoded.ok) {
			// It may be of a newer release: the life that is known counts as going on.
			rowFaults.report({
				table: tables.daemon,
				key,
				problem: decoded.error.problem,
			});
			return;
		}

		rowFaults.clear(tables.daemon, key);
		if (!decoded) {
			known.delete(key);
			return;
		}

		const before = known.get(key);
		const {beat, incarnation} = decoded.value;
		if (before?.beat === beat && before.incarnation === incarnation) {
			return;
		}

		if (before?.incarnation !== incarnation) {
			newLives.push(key);
		}

		const at = now();
		const isSeen =
			before?.incarnation === incarnation &&
			at - before.changedAt <= deps.observationGapMs;
		const seenAt = isSeen ? before.liveSince : at;
		known.set(key, {
			...decoded.value,
			name: key,
			changedAt: at,
			liveSince: seenAt,
		});
	};

	/** One line for all: many daemons may start at once. */
	const tellSeen = (names: readonly string[]) => {
		if (names.length > 0) {
			logger.info('daemons seen', {
				count: names.length,
				daemons: names.slice(0, maxNamesTold),
			});
		}
	};

	const applyChanges = ({entries, version}: FeedBatch<ChangedRow>) => {
		forgiveGap();
		readVersion = Math.max(readVersion, version);
		const newLives: string[] = [];
		for (const {value} of entries) {
			if (value) {
				noteRow(value, newLives);
			}
		}

		tellSeen(newLives);
	};

	return {
		applyChanges,
		get: (name) => known.get(name),
		isReadUpTo: (version) => readVersion >= version,
		getUnresponsiveMs(name) {
			const since = known.get(name)?.changedAt ?? readSince;
			const isReading =
				readAt !== undefined && now() - readAt <= deps.observationGapMs;
			return since !== undefined && isReading ? now() - since : 0;
		},
		getLiveForMs(name) {
			const member = known.get(name);
			return member ? now() - member.liveSince : 0;
		},
		listAll: () =>
			[...known.values()]
				.toSorted((one, two) => two.changedAt - one.changedAt)
				.map(({name}) => name),
		noteLeaving(name, incarnation) {
			leaving.set(name, incarnation);
			logger.info('daemon is stopping', {daemon: name, incarnation});
		},
		listLive: (withinMs) =>
			[...known.values()]
				.filter(({changedAt}) => now() - changedAt < withinMs)
				.filter(({name, incarnation}) => leaving.get(name) !== incarnation)
				.map(({name}) => name),
	};
};
