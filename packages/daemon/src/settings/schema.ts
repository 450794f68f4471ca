/**
 * Settings of one entry. Every duration is a whole number of milliseconds and
 * every size a whole number of bytes; the key's ending names the unit.
 * Operators' page: docs/operators/settings.md.
 */
import {isIP} from 'node:net';
import {z} from 'zod';
import {getShortestRetentionMs} from '../idempotency/idempotency-settings.js';

const sha256Hex = z.string().regex(/^[\da-f]{64}$/v, {
	error: 'a SHA-256 in 64 lower-case hexadecimal digits is allowed',
});

const ipNumber = z
	.string()
	.refine((text) => isIP(text) !== 0, {error: 'an IP number is allowed'});

const port = z.int().min(0).max(65_535);

const durationMs = (max: number) => z.int().min(1).max(max);

const oneMinuteMs = 60_000;

const oneHourMs = 60 * oneMinuteMs;

const kibibyte = 1024;

const mebibyte = kibibyte * kibibyte;

const name = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, {
	error: 'lower-case letters, digits, dots and dashes are allowed, 63 at most',
});

const entry = z.strictObject({
	id: name,
	region: name,
	availabilityZone: name,
});

const caller = z.strictObject({
	address: ipNumber,
	port,
	/** Request line and header fields together. */
	maxHeaderBytes: z
		.int()
		.min(kibibyte)
		.max(256 * kibibyte)
		.default(16 * kibibyte),
	maxBodyBytes: z
		.int()
		.min(0)
		.max(64 * mebibyte)
		.default(mebibyte),
	/** Time for a caller to send its header. */
	headersTimeoutMs: durationMs(oneMinuteMs).default(5000),
	/** Time for a caller to send its whole request. */
	requestTimeoutMs: durationMs(oneHourMs).default(15_000),
	/** Connections of callers, open at once. */
	maxConnections: z.int().min(1).max(65_535).default(4096),
	/** Bytes of request bodies held at once, over all requests. */
	maxBufferedBytes: z
		.int()
		.min(mebibyte)
		.default(64 * mebibyte),
});

const operatorToken = z.strictObject({
	name,
	sha256: sha256Hex,
	role: z.enum(['read', 'change']),
});

const operator = z.strictObject({
	address: ipNumber,
	port,
	tokens: z.array(operatorToken).max(1000).default([]),
});

const peers = z.strictObject({
	address: ipNumber,
	port,
	/** Shared by all entries; proves a peer on the JSON-RPC channel. */
	keyHex: z.string().regex(/^[\da-f]{64,128}$/v, {
		error: '64 to 128 lower-case hexadecimal digits are allowed',
	}),
});

const platform = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('memory')}),
	z.strictObject({
		kind: z.literal('http'),
		url: z.url({protocol: /^https?$/v}),
		timeoutMs: durationMs(oneMinuteMs).default(2000),
	}),
]);

const upstream = z.strictObject({
	connectTimeoutMs: durationMs(oneMinuteMs).default(500),
	/** Below the shortest idle limit of any middlebox on the way. */
	idleConnectionMs: durationMs(oneHourMs).default(10_000),
	maxAnswerBytes: z
		.int()
		.min(kibibyte)
		.max(64 * mebibyte)
		.default(mebibyte),
});

/** Fair queue and refusals; docs/operators/overload.md. */
const admission = z.strictObject({
	/** Requests of one service that wait at once, at most. */
	maxQueued: z.int().min(1).max(1_000_000).default(10_000),
	/** Time that a request and its answer spend between caller and entry. */
	transitMs: z.int().min(0).max(oneMinuteMs).default(0),
});

/** At-most-once requests; docs/operators/at-most-once.md. */
const idempotency = z.strictObject({
	/** How long a key is remembered. */
	retentionMs: durationMs(366 * 24 * oneHourMs).default(24 * oneHourMs),
	/** Longest wait for the store before a request is refused. */
	storeWithinMs: durationMs(oneMinuteMs).default(1000),
	/** After a request's deadline, how long its end may still be recorded. */
	settleWithinMs: durationMs(oneHourMs).default(oneMinuteMs),
	/** Largest difference between the clocks of two entries. */
	clockSkewMs: durationMs(oneHourMs).default(10_000),
	/** Answers up to this stand in the row, larger ones are objects. */
	inlineBytes: z
		.int()
		.min(1)
		.max(32 * kibibyte)
		.default(4 * kibibyte),
	/** What is told of a request that an outage of the store keeps back. */
	outageOutcome: z.enum(['unknown', 'not-run']).default('unknown'),
	/** Least time between two commits of this entry. */
	commitSpacingMs: z.int().min(0).max(1000).default(25),
	/** Requests that are open at once, at most. */
	maxAttempts: z.int().min(1).max(65_535).default(2048),
});

const stop = z.strictObject({
	/** Time from the first signal to the end of the process. */
	deadlineMs: durationMs(oneHourMs).default(20_000),
	/** Time that readiness is off before the listener closes. */
	readinessDelayMs: z.int().min(0).max(oneMinuteMs).default(2000),
});

const log = z.strictObject({
	level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	format: z.enum(['json', 'text', 'auto']).default('auto'),
});

/** Checked settings of one entry. */
export const settingsSchema = z
	.strictObject({
		entry,
		caller,
		operator,
		peers: peers.optional(),
		platform,
		upstream: upstream.prefault({}),
		admission: admission.prefault({}),
		idempotency: idempotency.prefault({}),
		stop: stop.prefault({}),
		log: log.prefault({}),
	})
	.check((ctx) => {
		const {caller, stop, idempotency} = ctx.value;
		const {retentionMs} = idempotency;
		const shortestMs = getShortestRetentionMs(idempotency);
		if (retentionMs < shortestMs) {
			ctx.issues.push({
				code: 'custom',
				path: ['idempotency', 'retentionMs'],
				input: retentionMs,
				message: `at least ${shortestMs} is allowed with the other settings`,
			});
		}

		if (caller.headersTimeoutMs > caller.requestTimeoutMs) {
			ctx.issues.push({
				code: 'custom',
				path: ['caller', 'headersTimeoutMs'],
				input: caller.headersTimeoutMs,
				message: `at most caller.requestTimeoutMs (${caller.requestTimeoutMs}) is allowed`,
			});
		}

		if (stop.readinessDelayMs >= stop.deadlineMs) {
			ctx.issues.push({
				code: 'custom',
				path: ['stop', 'readinessDelayMs'],
				input: stop.readinessDelayMs,
				message: `less than stop.deadlineMs (${stop.deadlineMs}) is allowed`,
			});
		}
	});

/** Settings of one entry, with defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;
