/**
 * Leases of control shards. A lease row is written when a shard changes
 * hands, not to renew it: the heartbeat of the holder's daemon stands for all
 * its shards. Every write under a lease checks the version of the lease row,
 * so a holder that was paused and replaced changes nothing.
 */
import {
	isSameIncarnation,
	type EntryIncarnation,
} from '../membership/acknowledgement.js';
import {fail, succeed, type Result} from '../types/result.js';
import {
	agreementTables,
	checkVersion,
	type StoreWrite,
} from '../types/store-write.js';

/** The row of one shard. */
export type ShardLease = {
	readonly shard: string;
	/** Absent after a hand-over at a graceful stop. */
	readonly holder: EntryIncarnation | null;
	/** Fencing token; grows by one with each acquisition. */
	readonly token: number;
};

/** A lease as read; `undefined` if the shard was never held. */
export type ReadLease =
	{readonly value: ShardLease; readonly version: number} | undefined;

/** What is known of the holder of a lease. */
export type HolderEvidence = {
	/** Incarnation in the holder's registration; absent if it has none. */
	readonly registeredIncarnation: string | undefined;
	/** How long the holder's heartbeat row has stayed the same. */
	readonly unresponsiveMs: number;
};

/** Who asks for a shard, and what it knows. */
export type Claim = {
	readonly self: EntryIncarnation;
	readonly evidence: HolderEvidence;
	/** Silence of a holder after which its shards may be taken over. */
	readonly leaseMs: number;
};

/**
 * Why a shard may not be acquired now. `already-own` after a lost reply: the
 * lease row is adopted, since no other entry will ever take it over.
 */
export type AcquireRefusal = 'held' | 'already-own';

const isHolderGone = (
	holder: EntryIncarnation,
	evidence: HolderEvidence,
	leaseMs: number,
): boolean =>
	evidence.registeredIncarnation !== holder.incarnation ||
	evidence.unresponsiveMs >= leaseMs;

const putLease = (
	value: ShardLease,
	read: ReadLease,
): StoreWrite<ShardLease> => ({
	kind: 'put',
	table: agreementTables.shard,
	key: value.shard,
	value,
	when: read ? {kind: 'version', version: read.version} : {kind: 'absent'},
});

/** Acquires a shard that is free or whose holder has fallen silent. */
export const acquireShard = (
	shard: string,
	read: ReadLease,
	{self, evidence, leaseMs}: Claim,
): Result<StoreWrite<ShardLease>, AcquireRefusal> => {
	const holder = read?.value.holder ?? undefined;
	if (holder && isSameIncarnation(holder, self)) {
		return fail('already-own');
	}

	if (holder && !isHolderGone(holder, evidence, leaseMs)) {
		return fail('held');
	}

	const token = (read?.value.token ?? 0) + 1;
	return succeed(putLease({shard, holder: self, token}, read));
};

/** A shard that this life holds, as far as it knows. */
export type HeldShard = {
	readonly shard: string;
	readonly token: number;
	/** Version of the lease row when it was acquired. */
	readonly version: number;
};

/** The lease that a row grants to this life, also after a lost reply. */
export const adoptShard = (
	read: ReadLease,
	self: EntryIncarnation,
): HeldShard | undefined => {
	const holder = read?.value.holder;
	return holder && isSameIncarnation(holder, self)
		? {
				shard: read.value.shard,
				token: read.value.token,
				version: read.version,
			}
		: undefined;
};

/** Hands a shard over; the next holder need not wait for the lease. */
export const releaseShard = (
	lease: ShardLease,
	version: number,
): StoreWrite<ShardLease> =>
	putLease({...lease, holder: null}, {value: lease, version});

/** True if a read of the lease row shows that the shard is lost. */
export const isShardLost = (held: HeldShard, read: ReadLease): boolean =>
	read?.version !== held.version;

/** Makes writes conditional on the lease; the check comes first. */
export const guardWithLease = <Value>(
	held: HeldShard,
	writes: ReadonlyArray<StoreWrite<Value>>,
): ReadonlyArray<StoreWrite<Value>> => [
	checkVersion(agreementTables.shard, held.shard, held.version),
	...writes,
];

/**
 * True if the holder still counts on its lease: its own heartbeat committed
 * less than the lease ago. It only saves useless work; safety is the token.
 */
export const isLeaseCurrent = (
	heartbeatAskedAt: number,
	leaseMs: number,
	now: number,
): boolean => now - heartbeatAskedAt < leaseMs;
