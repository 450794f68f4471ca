/** A shard as its holder has it. */
import type {LeaseRow} from '../rows/tables.js';

/** How the last holder of a shard went, for what may still run. */
export type PreviousHolderState = 'none' | 'released' | 'replaced' | 'silent';

/** A shard that this daemon has acquired. */
export type HeldShard = {
	readonly shard: string;
	readonly token: number;
	/** Version of the lease row; every write of the holder checks it. */
	readonly version: number;
	readonly previous: PreviousHolderState;
	/** The holder before, where it was reached; absent if there was none. */
	readonly previousHolder: LeaseRow | undefined;
};
