/**
 * Tracks the daemons of the fleet by the heartbeats that this daemon reads.
 * Only holders of shards and candidates send heartbeats continuously, so an
 * unknown daemon may still be alive.
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

/** Latest heartbeat of a daemon. */
export type Member = DaemonRow & {
	readonly name: string;
	/** When its heartbeat was last seen to change, by the local clock. */
	readonly changedAt: number;
	/** Since when heartbeats of this incarnation were seen without a gap. */
	readonly liveSince: number;
};

export type Members = {
	readonly applyChanges: (batch: FeedBatch<ChangedRow>) => void;
	/**
	 * Begins anew after changes that were not read; the rows are those that come
	 * with the new beginning, if any.
	 */
	readonly applySnapshot: (batch: FeedBatch<ChangedRow>) => void;
	/** The heartbeat read last, which may not be the latest. */
	readonly get: (name: string) => Member | undefined;
	/**
	 * Incarnation of a daemon by its latest heartbeat; absent if that may not
	 * have been read.
	 */
	readonly getIncarnation: (name: string) => string | undefined;
	/**
	 * Whether heartbeats were read up to a version of the store. Only then do
	 * they tell whether the holder in a lease of that version is alive.
	 */
	readonly isReadUpTo: (version: number) => boolean;
	/**
	 * Time since a daemon's heartbeat last changed, in milliseconds; counted from
	 * the first read if no heartbeat of it was read. 0 while reads fail, since
	 * then this daemon may be the one that is disconnected.
	 */
	readonly getUnresponsiveMs: (name: string) => number;
	/**
	 * Time for which the current incarnation was seen without a gap, in
	 * milliseconds; 0 for an unknown daemon.
	 */
	readonly getLiveForMs: (name: string) => number;
	/** Records that an incarnation of a daemon is stopping. */
	readonly noteLeaving: (name: string, incarnation: string) => void;
	/**
	 * Lists daemons whose heartbeat changed within `withinMs`. Daemons that are
	 * stopping are omitted: they still send heartbeats but claim no shards.
	 */
	readonly listLive: (withinMs: number) => readonly string[];
	/** Lists the names of all known daemons, latest heartbeat first. */
	readonly listAll: () => readonly string[];
};

/** Returns the named daemons other than `self`, with their capacities. */
export const toLiveEntries = (
	members: Pick<Members, 'get'>,
	names: readonly string[],
	self: string,
): readonly shardAssignment.LiveEntry[] =>
	names
		.filter((entry) => entry !== self)
		.map((entry) => ({entry, capacity: members.get(entry)?.capacity}));

export type MembersDeps = {
	readonly now: () => number;
	/** After a longer gap between two reads no daemon counts as unresponsive. */
	readonly observationGapMs: number;
	readonly logger: Pick<Logger, 'info'>;
	readonly rowFaults: RowFaults;
};

/** Maximum number of names in a log line about new incarnations. */
const maxLoggedNames = 5;

export const createMembers = (deps: MembersDeps): Members => {
	const {now, logger, rowFaults} = deps;
	const known = new Map<string, Member>();
	/** Daemons whose heartbeats were last read before changes that were not. */
	const outdated = new Set<string>();
	/** Stopping incarnation of each daemon. */
	const stopping = new Map<string, string>();
	let readAt: number | undefined;
	/** Since when heartbeats were read without a gap. */
	let readSince: number | undefined;
	let readVersion = 0;

	const restartAges = () => {
		const at = now();
		for (const [name, member] of known) {
			known.set(name, {...member, changedAt: at, liveSince: at});
		}

		readSince = at;
	};

	/**
	 * Restarts all ages after a gap in the reads, which proves nothing about
	 * others.
	 */
	const restartAgesAfterGap = () => {
		const at = now();
		if (readAt !== undefined && at - readAt > deps.observationGapMs) {
			restartAges();
		}

		readAt = at;
		readSince ??= at;
	};

	const applyRow = ({key, value}: ChangedRow, newIncarnations: string[]) => {
		const decoded =
			value === undefined ? undefined : decodeRow(daemonSchema, value);
		if (decoded && !decoded.ok) {
			// A newer release may have written it: the known incarnation stays.
			rowFaults.report({
				table: tables.daemon,
				key,
				problem: decoded.error.problem,
			});
			return;
		}

		rowFaults.clear(tables.daemon, key);
		outdated.delete(key);
		if (!decoded) {
			known.delete(key);
			return;
		}

		const previous = known.get(key);
		const {beat, incarnation} = decoded.value;
		if (previous?.beat === beat && previous.incarnation === incarnation) {
			return;
		}

		if (previous?.incarnation !== incarnation) {
			newIncarnations.push(key);
		}

		const at = now();
		const isContinuous =
			previous?.incarnation === incarnation &&
			at - previous.changedAt <= deps.observationGapMs;
		const liveSince = isContinuous ? previous.liveSince : at;
		known.set(key, {
			...decoded.value,
			name: key,
			changedAt: at,
			liveSince,
		});
	};

	/**
	 * Logs one line for all new incarnations, since many daemons may start at
	 * once.
	 */
	const logNewIncarnations = (names: readonly string[]) => {
		if (names.length > 0) {
			logger.info('new daemon incarnations', {
				count: names.length,
				daemons: names.slice(0, maxLoggedNames),
			});
		}
	};

	const applyChanges = ({entries, version}: FeedBatch<ChangedRow>) => {
		restartAgesAfterGap();
		readVersion = Math.max(readVersion, version);
		const newIncarnations: string[] = [];
		for (const {value} of entries) {
			if (value) {
				applyRow(value, newIncarnations);
			}
		}

		logNewIncarnations(newIncarnations);
	};

	return {
		applyChanges,
		applySnapshot(batch) {
			for (const name of known.keys()) {
				outdated.add(name);
			}

			restartAges();
			applyChanges(batch);
		},
		get: (name) => known.get(name),
		getIncarnation: (name) =>
			outdated.has(name) ? undefined : known.get(name)?.incarnation,
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
			stopping.set(name, incarnation);
			logger.info('daemon is stopping', {daemon: name, incarnation});
		},
		listLive: (withinMs) =>
			[...known.values()]
				.filter(({changedAt}) => now() - changedAt < withinMs)
				.filter(({name, incarnation}) => stopping.get(name) !== incarnation)
				.map(({name}) => name),
	};
};
