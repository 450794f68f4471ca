/**
 * Leases of control shards. A lease row is written when a shard changes hands,
 * not to renew it: the heartbeat of the holder's daemon renews all its shards.
 * Every write under a lease checks the version of the lease row, so that a
 * holder that was paused and replaced cannot write.
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

/** The lease row of one shard. */
export type ShardLease = {
	readonly shard: string;
	/** Null after a release at a graceful stop. */
	readonly holder: EntryIncarnation | null;
	/** Highest fencing token of the holder; see `tokensPerHolder`. */
	readonly token: number;
};

/** A stored lease; `undefined` if the shard was never held. */
export type ReadLease =
	{readonly value: ShardLease; readonly version: number} | undefined;

/**
 * Fencing tokens of one holder. The lease has the highest of them, so that any
 * higher token is one of a later holder. Commands carry the first one, or a later
 * one to an instance that has started again and knows no token any more.
 */
export const tokensPerHolder = 256;

/** Returns the highest token of the holder after one with `token`. */
export const getNextToken = (token: number): number =>
	(Math.floor(token / tokensPerHolder) + 2) * tokensPerHolder - 1;

/**
 * Returns the first token of the holder of a lease; the token itself if the lease
 * was acquired by a release that has one token for each holder.
 */
export const getFirstToken = (token: number): number =>
	(token + 1) % tokensPerHolder === 0 ? token + 1 - tokensPerHolder : token;

/** Evidence on whether the holder of a lease is alive. */
export type HolderEvidence = {
	/** Incarnation in the holder's registration; `undefined` if it has none. */
	readonly registeredIncarnation: string | undefined;
	/**
	 * Time for which the holder's heartbeat row has not changed, in
	 * milliseconds.
	 */
	readonly unresponsiveMs: number;
};

/** A claim to a shard, with the evidence for it. */
export type Claim = {
	readonly self: EntryIncarnation;
	readonly evidence: HolderEvidence;
	/**
	 * Time after which the shards of an unresponsive holder may be taken over,
	 * in milliseconds.
	 */
	readonly leaseMs: number;
};

/**
 * Why a shard may not be acquired now. `already-own` follows a lost reply: the
 * entry must adopt the lease, since no other entry will take it over.
 */
export type AcquireRefusal = 'held' | 'already-own';

const isHolderTerminated = (
	holder: EntryIncarnation,
	evidence: HolderEvidence,
	leaseMs: number,
): boolean =>
	evidence.registeredIncarnation !== holder.incarnation ||
	evidence.unresponsiveMs >= leaseMs;

const createLeaseWrite = (
	value: ShardLease,
	read: ReadLease,
): StoreWrite<ShardLease> => ({
	kind: 'put',
	table: agreementTables.shard,
	key: value.shard,
	value,
	when: read ? {kind: 'version', version: read.version} : {kind: 'absent'},
});

/**
 * Builds the write that acquires a shard that is free or whose holder is
 * unresponsive or terminated.
 */
export const acquireShard = (
	shard: string,
	read: ReadLease,
	{self, evidence, leaseMs}: Claim,
): Result<StoreWrite<ShardLease>, AcquireRefusal> => {
	const holder = read?.value.holder ?? undefined;
	if (holder && isSameIncarnation(holder, self)) {
		return fail('already-own');
	}

	if (holder && !isHolderTerminated(holder, evidence, leaseMs)) {
		return fail('held');
	}

	const token = getNextToken(read?.value.token ?? 0);
	return succeed(createLeaseWrite({shard, holder: self, token}, read));
};

/** A shard that this incarnation acquired and may have lost since. */
export type HeldShard = {
	readonly shard: string;
	readonly token: number;
	/** Version of the lease row at the acquisition. */
	readonly version: number;
};

/**
 * Returns the lease that a row grants to this incarnation, even if the reply to
 * its write was lost.
 */
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

/**
 * Builds the write that releases a shard, so that the next holder need not wait
 * for the lease to expire.
 */
export const releaseShard = (
	lease: ShardLease,
	version: number,
): StoreWrite<ShardLease> =>
	createLeaseWrite({...lease, holder: null}, {value: lease, version});

/**
 * Returns the token to store with the release of a shard after a command under
 * `token` was refused: an instance that another shard has commanded knows that
 * one's token, so the next acquisition must exceed the tokens of all shards.
 */
export const raiseToken = (
	token: number,
	knownTokens: readonly number[],
): number => Math.max(token, ...knownTokens);

/** By which a token is multiplied that is refused for an unknown higher one. */
const refusedTokenFactor = 16;

/** Highest token that is multiplied; run numbers contain tokens. */
const maxRefusedToken = 2 ** 26;

/** Whether a token may be raised without knowing the one that is higher. */
export const mayRaiseRefused = (token: number): boolean =>
	token <= maxRefusedToken;

/**
 * Returns the token to store with the release of a shard after a command under
 * `token` was refused. If no known token is higher, as of a store that was set
 * up anew beside instances that live on, repeated raises exceed it.
 */
export const raiseRefusedToken = (
	token: number,
	knownTokens: readonly number[],
): number => {
	const raised = raiseToken(token, knownTokens);
	return raised === token && mayRaiseRefused(token)
		? token * refusedTokenFactor
		: raised;
};

/** Whether a read of the lease row shows that the shard is lost. */
export const isShardLost = (held: HeldShard, read: ReadLease): boolean =>
	read?.version !== held.version;

/**
 * Why an instance refused a command for a higher token: the shard was
 * `replaced`, the instance may have seen the token of an `other-shard`, or the
 * token is `unknown`, as none that is known is higher.
 */
export type FenceCause = 'replaced' | 'other-shard' | 'unknown';

/**
 * Returns the cause of a refusal, given the version of the lease row since then
 * and the tokens of all shards.
 */
export const findFenceCause = (
	held: HeldShard,
	version: number | undefined,
	knownTokens: readonly number[],
): FenceCause => {
	if (version !== held.version) {
		return 'replaced';
	}

	return knownTokens.some((each) => each > held.token)
		? 'other-shard'
		: 'unknown';
};

/** Makes writes conditional on the lease, with the check as the first step. */
export const guardWithLease = <Value>(
	held: HeldShard,
	writes: ReadonlyArray<StoreWrite<Value>>,
): ReadonlyArray<StoreWrite<Value>> => [
	checkVersion(agreementTables.shard, held.shard, held.version),
	...writes,
];

/**
 * Whether the holder may still rely on its lease: its last committed heartbeat
 * was sent less than the lease time ago. This only avoids writes that would
 * fail; safety comes from the fencing token.
 */
export const isLeaseCurrent = (
	heartbeatSentAt: number,
	leaseMs: number,
	now: number,
): boolean => now - heartbeatSentAt < leaseMs;
