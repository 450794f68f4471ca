/**
 * Schema of the settings of one entry. Durations are integers in milliseconds
 * and sizes integers in bytes; the suffix of the key names the unit.
 * Reference: docs/operators/settings.md.
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
	/** Size of the request line and header fields together. */
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
	/** Time in which a caller must send the headers. */
	headersTimeoutMs: durationMs(oneMinuteMs).default(5000),
	/** Time in which a caller must send the complete request. */
	requestTimeoutMs: durationMs(oneHourMs).default(15_000),
	/** Most open connections of callers. */
	maxConnections: z.int().min(1).max(65_535).default(4096),
	/** Most bytes of request bodies buffered for all requests together. */
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
	/** Key shared by all entries; authenticates peers on the JSON-RPC channel. */
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
	/** Must be below the shortest idle timeout of any middlebox on the path. */
	idleConnectionMs: durationMs(oneHourMs).default(10_000),
	maxAnswerBytes: z
		.int()
		.min(kibibyte)
		.max(64 * mebibyte)
		.default(mebibyte),
});

/** Queueing and refusals; see docs/operators/overload.md. */
const admission = z.strictObject({
	/** Most queued requests of one service. */
	maxQueued: z.int().min(1).max(1_000_000).default(10_000),
	/** Round-trip time between caller and entry. */
	transitMs: z.int().min(0).max(oneMinuteMs).default(0),
});

/** At-most-once requests; see docs/operators/at-most-once.md. */
const idempotency = z.strictObject({
	/** How long an idempotency key is stored. */
	retentionMs: durationMs(366 * 24 * oneHourMs).default(24 * oneHourMs),
	/** Longest wait for the store before a request is refused. */
	storeWithinMs: durationMs(oneMinuteMs).default(1000),
	/** Time after a request's deadline in which its end may be recorded. */
	settleWithinMs: durationMs(oneHourMs).default(oneMinuteMs),
	/** Largest difference between the clocks of two entries. */
	clockSkewMs: durationMs(oneHourMs).default(10_000),
	/** Answers up to this size are stored in the row, larger ones as objects. */
	inlineBytes: z
		.int()
		.min(1)
		.max(32 * kibibyte)
		.default(4 * kibibyte),
	/** Outcome reported for a request that a store outage blocks. */
	outageOutcome: z.enum(['unknown', 'not-run']).default('unknown'),
	/** Minimum time between two commits of this entry. */
	commitSpacingMs: z.int().min(0).max(1000).default(25),
	/** Most concurrent requests. */
	maxAttempts: z.int().min(1).max(65_535).default(2048),
});

const stop = z.strictObject({
	/** Time from the first signal until the process exits. */
	deadlineMs: durationMs(oneHourMs).default(20_000),
	/** Time between the entry turning unready and closing its listeners. */
	readinessDelayMs: z.int().min(0).max(oneMinuteMs).default(2000),
});

const log = z.strictObject({
	level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
	format: z.enum(['json', 'text', 'auto']).default('auto'),
});

/** Schema of the settings of one entry. */
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

/** Settings of one entry, including defaults. */
export type Settings = z.output<typeof settingsSchema>;
