/** State of a shard that this daemon holds. */
import type {LeaseRow} from '../rows/tables.js';

/**
 * State of the previous holder when the shard was acquired. The new holder uses
 * it to decide whether runs of the previous one may still be active.
 */
export type PreviousHolderState = 'none' | 'released' | 'replaced' | 'silent';

export type HeldShard = {
	readonly shard: string;
	readonly token: number;
	/** Version of the lease row; every write of the holder checks it. */
	readonly version: number;
	readonly previous: PreviousHolderState;
	/** Lease of the previous holder, with its address; absent if not known. */
	readonly previousHolder: LeaseRow | undefined;
};
