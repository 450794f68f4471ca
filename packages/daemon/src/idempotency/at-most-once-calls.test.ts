import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import * as platform from '@gullstand/ports';
import * as tap from 'tap';
import {request} from 'undici';
import {createError, type Call, type CallResult} from '../caller/call.js';
import {createCancellation} from '../caller/cancellation.js';
import {createDaemon, type Platform} from '../daemon.js';
import {
	embeddedCallerToken,
	startEmbeddedPlatform,
} from '../embedded/embedded-platform.js';
import {createEmbeddedSettings} from '../embedded/embedded-settings.js';
import {createLogger} from '../log/logger.js';
import {defaultGroupSettings} from './group-writer.js';
import {createAtMostOnceCalls} from './at-most-once-calls.js';
import {getDecisionSettings} from './idempotency-settings.js';

const now = () => performance.now();
const largeBudget = 1_048_576;
const smallBudget = 100;

const startEntry = async (
	t: tap.Test,
	shared: Platform,
	id: string,
	maxBufferedBytes = largeBudget,
) => {
	const base = createEmbeddedSettings();
	const settings = {
		...base,
		entry: {...base.entry, id},
		caller: {...base.caller, maxBufferedBytes},
	};
	const logger = createLogger(settings.log, 'test', new PassThrough().resume());
	const daemon = createDaemon({settings, platform: shared, logger, now});
	await daemon.start((err) => {
		throw err;
	});
	t.teardown(daemon.stop);
	return daemon.getCallerPort();
};

const startEntries = async (t: tap.Test) => {
	const embedded = await startEmbeddedPlatform(now);
	t.teardown(embedded.close);
	const control = platform.faults.createFaultControl({
		random: () => 0.5,
		wait: async () => undefined,
		timeoutMs: 10,
	});
	const table = platform.faults.wrapTableService(
		embedded.platform.table,
		control,
	);
	const shared = {...embedded.platform, table};
	const ports = [
		await startEntry(t, shared, 'entry-1'),
		await startEntry(t, shared, 'entry-2', smallBudget),
	];
	const send = async (
		entry: 0 | 1,
		path: string,
		key: string | undefined,
		body = 'claim',
	) => {
		const res = await request(`http://127.0.0.1:${ports[entry]}${path}`, {
			method: 'POST',
			headers: {
				authorization: `Bearer ${embeddedCallerToken}`,
				...(key !== undefined && {'idempotency-key': key}),
			},
			body,
		});
		const {headers, statusCode: status} = res;
		return {
			status,
			error: headers['gullstand-error'],
			outcome: headers['gullstand-outcome'],
			isReplay: headers['idempotent-replayed'] === 'true',
			retryAfter: headers['retry-after'],
			text: await res.body.text(),
		};
	};

	return {send, control};
};

const intake = '/s/claims/intake';

tap.t.test('a non-repeatable route requires a key', async (t) => {
	const {send} = await startEntries(t);
	const refusals: Array<[string | undefined, number, string]> = [
		[undefined, 400, 'key-required'],
		['a'.repeat(256), 400, 'key-invalid'],
		['a b', 400, 'key-invalid'],
	];
	for (const [key, status, error] of refusals) {
		t.match(await send(0, intake, key), {status, error, outcome: 'not-run'});
	}

	t.match(await send(0, '/s/claims/list', undefined), {status: 200});
});

tap.t.test('a repeat on another entry gets the same answer', async (t) => {
	const {send} = await startEntries(t);
	const first = await send(0, intake, 'key-1');
	t.match(first, {status: 200, outcome: 'ran', isReplay: false});
	const repeat = await send(1, intake, 'key-1');
	t.match(repeat, {status: 200, outcome: 'ran', isReplay: true});
	t.equal(repeat.text, first.text);
	t.match(await send(1, intake, 'key-1', 'another claim'), {
		status: 422,
		error: 'key-reused',
		outcome: 'not-run',
	});
});

tap.t.test('a store outage holds non-repeatable requests back', async (t) => {
	const {send, control} = await startEntries(t);
	control.set({isDown: true});
	t.match(await send(0, intake, 'key-2'), {
		status: 503,
		error: 'key-unread',
		outcome: 'unknown',
		retryAfter: '1',
	});
	t.match(await send(0, '/s/quoting/', undefined), {status: 200});
	control.set({isDown: false});
	t.match(await send(1, intake, 'key-2'), {status: 200, isReplay: false});
});

tap.t.test(
	'a refusal before the key is read leaves the outcome unknown',
	async (t) => {
		const {send} = await startEntries(t);
		const body = 'x'.repeat(smallBudget + 1);
		t.match(await send(0, intake, 'key-3', body), {outcome: 'ran'});
		t.match(await send(1, intake, 'key-3', body), {
			status: 503,
			error: 'key-unread',
			outcome: 'unknown',
			retryAfter: '1',
		});
		t.match(await send(1, '/s/quoting/', undefined, body), {
			error: 'overloaded',
			outcome: 'not-run',
		});
	},
);

type Row = [
	name: string,
	results: CallResult[],
	expectedResults: string[],
	runs: number,
];

const answer: CallResult = {
	kind: 'answer',
	status: 201,
	headers: [],
	body: new Uint8Array([1]),
	executor: 'a',
	attempts: 1,
};
const stream = (): CallResult => ({...answer, body: new ReadableStream()});

const rows: Row[] = [
	['a whole answer', [answer], ['a', 'stored-answer'], 1],
	['a streamed answer', [stream()], ['a', 'answer-not-kept'], 1],
	['a refusal', [createError('overloaded'), answer], ['overloaded', 'a'], 2],
	[
		'a reset',
		[createError('upstream-reset'), answer],
		['upstream-reset', 'outcome-unknown'],
		1,
	],
];

for (const [name, results, expectedResults, runs] of rows) {
	tap.t.test(`dispatch gives: ${name}`, async (t) => {
		const embedded = createEmbeddedSettings();
		const tables = platform.createMemoryTableService();
		const objects = platform.createMemoryObjectStore();
		const createEntry = (entry: string) =>
			createAtMostOnceCalls({
				tables,
				objects,
				entry,
				incarnation: 'a',
				settings: getDecisionSettings(embedded.idempotency),
				groupSettings: {...defaultGroupSettings, windowMs: 0, spacingMs: 0},
				maxAttempts: 10,
				now,
			});
		let count = 0;
		const next = async () => results[count++] ?? createError('internal');
		const call = {
			contract: {customer: 'broker'},
			service: {name: 'claims'},
			method: 'POST',
			path: '/intake',
			headers: {'idempotency-key': 'k'},
			body: new Uint8Array(),
			deadline: now() + 5000,
			idempotent: false,
			cancellation: createCancellation(),
		} as unknown as Call;
		for (const [index, expected] of expectedResults.entries()) {
			const calls = createEntry(`entry-${index}`);
			const result = await calls.layer(next)(call);
			t.equal(
				result.kind === 'answer' ? result.executor : result.error,
				expected,
			);
			await calls.part.stop(now() + 5000);
			t.equal(calls.getOpenCount(), 0);
		}

		t.equal(count, runs);
	});
}
