/**
 * Authentication of peer messages: an HMAC-SHA256 (RFC 2104) over sender,
 * receiver, time, nonce and body, with the key of the settings. An answer is
 * signed together with the nonce of its call.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** Headers that carry the signature and what it covers. */
export const peerHeaders = {
	entry: 'gullstand-peer',
	incarnation: 'gullstand-incarnation',
	time: 'gullstand-time',
	nonce: 'gullstand-nonce',
	signature: 'gullstand-signature',
} as const;

/** Fields covered by the signature of a call. */
export type Envelope = {
	readonly entry: string;
	readonly incarnation: string;
	/** Address and port of the receiver, so that no other accepts it. */
	readonly to: string;
	/** Wall clock of the sender, in milliseconds. */
	readonly time: number;
	readonly nonce: string;
};

/** Why a message is refused; the sender receives only status 401. */
export type EnvelopeRefusal =
	'incomplete' | 'bad-signature' | 'clock-apart' | 'repeated';

const nonceBytes = 16;

const sign = (key: Buffer, parts: readonly string[], body: string): string => {
	const hmac = createHmac('sha256', key);
	for (const part of parts) {
		hmac.update(`${Buffer.byteLength(part)}:${part}\n`);
	}

	return hmac.update(body).digest('hex');
};

export const createNonce = (): string =>
	randomBytes(nonceBytes).toString('hex');

/** Signs a call. */
export const signCall = (key: Buffer, call: Envelope, body: string): string =>
	sign(
		key,
		[
			'call',
			call.entry,
			call.incarnation,
			call.to,
			String(call.time),
			call.nonce,
		],
		body,
	);

/** Signs the answer to the call with that nonce. */
export const signAnswer = (key: Buffer, nonce: string, body: string): string =>
	sign(key, ['answer', nonce], body);

/** Compares signatures in constant time. */
export const isSameSignature = (one: string, two: string): boolean => {
	const [first, second] = [Buffer.from(one), Buffer.from(two)];
	return first.length === second.length && timingSafeEqual(first, second);
};

/** Stores nonces for as long as their times are accepted. */
export type NonceWindow = {
	/** Adds a nonce; false if it was used before. */
	readonly add: (nonce: string, time: number, wallNow: number) => boolean;
};

/** Creates a window, for nonces of authentic messages only. */
export const createNonceWindow = (maxApartMs: number): NonceWindow => {
	const usedNonces = new Map<string, number>();
	const removeExpired = (wallNow: number) => {
		for (const [nonce, time] of usedNonces) {
			// Insertion order approximates the order of times.
			if (wallNow - time <= 2 * maxApartMs) {
				return;
			}

			usedNonces.delete(nonce);
		}
	};

	return {
		add(nonce, time, wallNow) {
			removeExpired(wallNow);
			if (usedNonces.has(nonce)) {
				return false;
			}

			usedNonces.set(nonce, time);
			return true;
		},
	};
};

/** Inputs for checking a call. */
export type EnvelopeCheck = {
	readonly key: Buffer;
	readonly nonces: NonceWindow;
	/** Maximum accepted difference of wall clocks, in milliseconds. */
	readonly maxClockSkewMs: number;
};

/** Checks a call; `undefined` if it is authentic and not a replay. */
export const checkCall = (
	{key, nonces, maxClockSkewMs}: EnvelopeCheck,
	call: Envelope & {readonly signature: string},
	body: string,
	wallNow: number,
): EnvelopeRefusal | undefined => {
	if (!call.entry || !call.nonce || !Number.isFinite(call.time)) {
		return 'incomplete';
	}

	if (!isSameSignature(signCall(key, call, body), call.signature)) {
		return 'bad-signature';
	}

	if (Math.abs(wallNow - call.time) > maxClockSkewMs) {
		return 'clock-apart';
	}

	return nonces.add(call.nonce, call.time, wallNow) ? undefined : 'repeated';
};
