/** Leases of all shards as last read from the store. */
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

/** A lease and the version of its row. */
export type KnownLease = {
	readonly value: LeaseRow;
	readonly version: number;
};

/** A daemon that holds a shard. */
export type ShardHolder = {readonly entry: string; readonly address: string};

/** The leases known. */
export type LeaseCache = {
	readonly apply: (batch: FeedBatch<ChangedRow>) => void;
	/** Takes in a row that came with another answer; older ones are dropped. */
	readonly applyRow: (row: ChangedRow | StoredRow) => void;
	readonly get: (shard: string) => KnownLease | undefined;
	/** Who holds shards, and where they are reached; each once. */
	readonly listHolders: () => readonly ShardHolder[];
	/** Version for a check: 0 while the shard was never held. */
	readonly getVersion: (shard: string) => number;
};

/** What the book needs. */
export type LeaseCacheDeps = {
	readonly logger: Pick<Logger, 'info'>;
	readonly rowFaults: RowFaults;
	/** The lease of a shard has another version. */
	readonly onChange: (shard: string, lease: KnownLease) => void;
};

/** Creates an empty book. */
export const createLeaseCache = (deps: LeaseCacheDeps): LeaseCache => {
	const {logger, rowFaults, onChange} = deps;
	const known = new Map<string, KnownLease>();

	const note: LeaseCache['applyRow'] = ({part, key, version, value}) => {
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

		const lease = {value: decoded.value, version};
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
		applyRow: note,
		apply({entries}) {
			for (const {value} of entries) {
				if (value) {
					note(value);
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
		getVersion: (shard) => known.get(shard)?.version ?? 0,
	};
};
