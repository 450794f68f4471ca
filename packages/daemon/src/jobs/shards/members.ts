/** Daemons of the fleet by their heartbeats, as one daemon sees them. */
import type {ChangedRow, FeedBatch} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {daemonSchema, decodeRow, type DaemonRow} from '../rows/tables.js';

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
	/** Whether the heartbeats were read whole, so that absence says something. */
	readonly isRead: () => boolean;
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
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

/** Creates an empty list of members. */
export const createMembers = (deps: MembersDeps): Members => {
	const {now, logger} = deps;
	const known = new Map<string, Member>();
	/** Lives that are stopping, by daemon. */
	const leaving = new Map<string, string>();
	let readAt: number | undefined;
	let isRead = false;

	/** The store was away, or this daemon was: nobody's silence counts. */
	const forgiveGap = () => {
		const at = now();
		if (readAt !== undefined && at - readAt > deps.observationGapMs) {
			for (const [name, member] of known) {
				known.set(name, {...member, changedAt: at, seenAt: at});
			}
		}

		readAt = at;
	};

	const noteRow = ({key, value}: ChangedRow) => {
		const decoded =
			value === undefined ? undefined : decodeRow(daemonSchema, value);
		if (!decoded) {
			known.delete(key);
			return;
		}

		if (!decoded.ok) {
			logger.warn('row skipped', {table: 'daemon', key, ...decoded.error});
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

	const applyChanges = ({entries}: FeedBatch<ChangedRow>) => {
		forgiveGap();
		for (const {value} of entries) {
			if (value) {
				noteRow(value);
			}
		}
	};

	return {
		applyChanges,
		applyWhole(batch) {
			const present = new Set(batch.entries.map(({value}) => value?.key));
			for (const name of known.keys()) {
				if (!present.has(name)) {
					known.delete(name);
				}
			}

			applyChanges(batch);
			isRead = true;
		},
		get: (name) => known.get(name),
		isRead: () => isRead,
		getSilentMs(name) {
			const member = known.get(name);
			const isReading =
				readAt !== undefined && now() - readAt <= deps.observationGapMs;
			return member && isReading ? now() - member.changedAt : 0;
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
