/**
 * Proof that a message on the peer channel comes from another entry: an
 * HMAC-SHA256 (RFC 2104) over sender, receiver, time, nonce and body, with
 * the key of the settings. Answers are sealed with the nonce of their call.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** Headers that carry the proof. */
export const peerHeaders = {
	entry: 'gullstand-peer',
	incarnation: 'gullstand-incarnation',
	time: 'gullstand-time',
	nonce: 'gullstand-nonce',
	signature: 'gullstand-signature',
} as const;

/** What a call is sealed with. */
export type Envelope = {
	readonly entry: string;
	readonly incarnation: string;
	/** Address and port of the receiver, so that it serves no other. */
	readonly to: string;
	/** Wall clock of the sender, in milliseconds. */
	readonly time: number;
	readonly nonce: string;
};

/** Why a message is refused; the sender learns no more than 401. */
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

/** Makes a nonce. */
export const createNonce = (): string =>
	randomBytes(nonceBytes).toString('hex');

/** Seals a call. */
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

/** Seals the answer to the call with that nonce. */
export const signAnswer = (key: Buffer, nonce: string, body: string): string =>
	sign(key, ['answer', nonce], body);

/** Compares signatures in constant time. */
export const isSameSignature = (one: string, two: string): boolean => {
	const [first, second] = [Buffer.from(one), Buffer.from(two)];
	return first.length === second.length && timingSafeEqual(first, second);
};

/** Remembers nonces for as long as their times are accepted. */
export type NonceWindow = {
	/** False if the nonce was seen before. */
	readonly add: (nonce: string, time: number, wallNow: number) => boolean;
};

/** Creates a window; it holds only nonces of authentic messages. */
export const createNonceWindow = (maxApartMs: number): NonceWindow => {
	const seen = new Map<string, number>();
	const forget = (wallNow: number) => {
		for (const [nonce, time] of seen) {
			// Insertion order is close to the order of times.
			if (wallNow - time <= 2 * maxApartMs) {
				return;
			}

			seen.delete(nonce);
		}
	};

	return {
		add(nonce, time, wallNow) {
			forget(wallNow);
			if (seen.has(nonce)) {
				return false;
			}

			seen.set(nonce, time);
			return true;
		},
	};
};

/** What the receiver checks a call with. */
export type EnvelopeCheck = {
	readonly key: Buffer;
	readonly nonces: NonceWindow;
	/** Difference of wall clocks that is accepted, in milliseconds. */
	readonly maxClockSkewMs: number;
};

/** Judges a call; `undefined` means authentic and new. */
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
