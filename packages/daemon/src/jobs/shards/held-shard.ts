/** State of a shard that this daemon holds. */
import type {earlierHolders} from '@gullstand/core';
import type {LeaseRow} from '../rows/tables.js';

export type HeldShard = {
	readonly shard: string;
	readonly token: number;
	/** Token of the holder before; absent if not known. */
	readonly previousToken?: number | undefined;
	/** Version of the lease row; every write of the holder checks it. */
	readonly version: number;
	/** From it the holder decides whether runs of the previous one may be active. */
	readonly previous: earlierHolders.PreviousHolderState;
	/**
	 * Until when the holders before the previous one may grant leases, in
	 * milliseconds of the store's clock; absent if none may.
	 */
	readonly earlierGrantsUntilMs?: number | undefined;
	/** Lease of the previous holder, with its address; absent if not known. */
	readonly previousHolder: LeaseRow | undefined;
};
