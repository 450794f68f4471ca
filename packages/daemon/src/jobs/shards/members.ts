/** Daemons of the fleet by their heartbeats, as one daemon sees them. */
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
	readonly seenAt: number;
};

/** What is known of all daemons. */
export type Members = {
	readonly applyWhole: (batch: FeedBatch<ChangedRow>) => void;
	readonly applyChanges: (batch: FeedBatch<ChangedRow>) => void;
	readonly get: (name: string) => Member | undefined;
	/**
	 * Whether the heartbeats were read whole and this daemon's, if any, can be
	 * read, so that its absence says something.
	 */
	readonly isRead: (name: string) => boolean;
	/**
	 * Whether the heartbeats are read as of a version of the store, so that they
	 * say something about what was written there by then.
	 */
	readonly isReadUpTo: (version: number) => boolean;
	/**
	 * How long a daemon's heartbeat has stood still; 0 if it is not known, and
	 * while none is read: then this daemon may be the one that is cut off.
	 */
	readonly getSilentMs: (name: string) => number;
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

/** What the members are kept with. */
export type MembersDeps = {
	readonly now: () => number;
	/** A longer gap between two reads proves no daemon silent. */
	readonly observationGapMs: number;
	readonly logger: Pick<Logger, 'info'>;
	readonly rowFaults: RowFaults;
};

/** Creates an empty list of members. */
export const createMembers = (deps: MembersDeps): Members => {
	const {now, logger, rowFaults} = deps;
	const known = new Map<string, Member>();
	/** Since when no heartbeat of a daemon that is not known can be read. */
	const unreadSince = new Map<string, number>();
	/** Lives that are stopping, by daemon. */
	const leaving = new Map<string, string>();
	let readAt: number | undefined;
	let isRead = false;
	let readVersion = 0;

	/** The store was away, or this daemon was: nobody's silence counts. */
	const forgiveGap = () => {
		const at = now();
		if (readAt !== undefined && at - readAt > deps.observationGapMs) {
			for (const [name, member] of known) {
				known.set(name, {...member, changedAt: at, seenAt: at});
			}

			for (const name of unreadSince.keys()) {
				unreadSince.set(name, at);
			}
		}

		readAt = at;
	};

	const forget = (name: string) => {
		known.delete(name);
		unreadSince.delete(name);
	};

	/** It may be the heartbeat of a newer version: its life counts as going on. */
	const noteUnreadable = (name: string, problem: string) => {
		rowFaults.note({table: tables.daemon, key: name, problem});
		if (!known.has(name) && !unreadSince.has(name)) {
			unreadSince.set(name, now());
		}
	};

	const noteRow = ({key, value}: ChangedRow) => {
		const decoded =
			value === undefined ? undefined : decodeRow(daemonSchema, value);
		if (decoded && !decoded.ok) {
			noteUnreadable(key, decoded.error.problem);
			return;
		}

		rowFaults.clear(tables.daemon, key);
		unreadSince.delete(key);
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
			logger.info('daemon seen', {daemon: key, ...decoded.value});
		}

		const at = now();
		const isSeen =
			before?.incarnation === incarnation &&
			at - before.changedAt <= deps.observationGapMs;
		const seenAt = isSeen ? before.seenAt : at;
		known.set(key, {...decoded.value, name: key, changedAt: at, seenAt});
	};

	const applyChanges = ({entries, version}: FeedBatch<ChangedRow>) => {
		forgiveGap();
		readVersion = Math.max(readVersion, version);
		for (const {value} of entries) {
			if (value) {
				noteRow(value);
			}
		}
	};

	return {
		applyChanges,
		applyWhole(batch) {
			const present = new Set(
				batch.entries.flatMap(({value}) => (value ? [value.key] : [])),
			);
			rowFaults.keepOnly(tables.daemon, present);
			for (const name of [...known.keys(), ...unreadSince.keys()]) {
				if (!present.has(name)) {
					forget(name);
				}
			}

			applyChanges(batch);
			isRead = true;
		},
		get: (name) => known.get(name),
		isRead: (name) => isRead && !unreadSince.has(name),
		isReadUpTo: (version) => readVersion >= version,
		getSilentMs(name) {
			const since = known.get(name)?.changedAt ?? unreadSince.get(name);
			const isReading =
				readAt !== undefined && now() - readAt <= deps.observationGapMs;
			return since !== undefined && isReading ? now() - since : 0;
		},
		getLiveForMs(name) {
			const member = known.get(name);
			return member ? now() - member.seenAt : 0;
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
