/** Caches the leases of all shards as last read from the store. */
import type {ChangedRow, FeedBatch, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {RowFaults} from '../rows/row-faults.js';
import {
	decodeRow,
	leaseSchema,
	singleKeys,
	tables,
	type LeaseRow,
} from '../rows/tables.js';

/** A lease with the version of its row. */
export type KnownLease = {
	readonly value: LeaseRow;
	readonly version: number;
	/** When this daemon saw the row first, by its monotonic clock. */
	readonly seenAt: number;
};

/** A daemon that holds a shard. */
export type ShardHolder = {readonly entry: string; readonly address: string};

export type LeaseCache = {
	readonly apply: (batch: FeedBatch<ChangedRow>) => void;
	/**
	 * Applies one row, such as a row returned by a transaction. Rows that are
	 * not newer than the cached one are ignored.
	 */
	readonly applyRow: (row: ChangedRow | StoredRow) => void;
	readonly get: (shard: string) => KnownLease | undefined;
	/** Lists each holder once, with the address of its peer channel. */
	readonly listHolders: () => readonly ShardHolder[];
	/** Lists the fencing tokens of all shards. */
	readonly listTokens: () => readonly number[];
	/** Returns the row version to check on a write; 0 if there is no row. */
	readonly getVersion: (shard: string) => number;
};

export type LeaseCacheDeps = {
	readonly logger: Pick<Logger, 'info'>;
	readonly rowFaults: RowFaults;
	readonly now: () => number;
	/** Called when the lease of a shard has a newer version. */
	readonly onChange: (shard: string, lease: KnownLease) => void;
};

export const createLeaseCache = (deps: LeaseCacheDeps): LeaseCache => {
	const {logger, rowFaults, now, onChange} = deps;
	const known = new Map<string, KnownLease>();

	const applyRow: LeaseCache['applyRow'] = ({part, key, version, value}) => {
		if (key !== singleKeys.lease || value === undefined) {
			return;
		}

		const decoded = decodeRow(leaseSchema, value);
		if (!decoded.ok) {
			rowFaults.report({table: tables.lease, key: part, ...decoded.error});
			return;
		}

		rowFaults.clear(tables.lease, part);

		if ((known.get(part)?.version ?? 0) >= version) {
			return;
		}

		const lease = {value: decoded.value, version, seenAt: now()};
		known.set(part, lease);
		logger.info('shard owner seen', {
			shard: part,
			holder: lease.value.holder?.entry,
			fencingToken: lease.value.token,
			version,
		});
		onChange(part, lease);
	};

	return {
		applyRow,
		apply({entries}) {
			for (const {value} of entries) {
				if (value) {
					applyRow(value);
				}
			}
		},
		get: (shard) => known.get(shard),
		listHolders() {
			const addresses = new Map(
				[...known.values()].flatMap(({value: {holder, address}}) =>
					holder ? [[holder.entry, address] as const] : [],
				),
			);
			return [...addresses].map(([entry, address]) => ({entry, address}));
		},
		listTokens: () => [...known.values()].map(({value: {token}}) => token),
		getVersion: (shard) => known.get(shard)?.version ?? 0,
	};
};
