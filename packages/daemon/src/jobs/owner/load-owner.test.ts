/**
 * Guards against a takeover that never completes over a slow link: if pages
 * are too large, a read times out and the whole load starts again.
 */
import {scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createJobSpec,
	heldShard,
	noLogger,
} from '../job-daemon.test.fixture.js';
import {loadOwner} from './load-owner.js';

/** A link of 7 Mbit/s, in bytes per millisecond. */
const bytesPerMs = 875;
/** Limits of one answer of the store; origin: the store's interface. */
const maxRows = 500;
const maxBytes = 1_000_000;

/** Bytes of a row on the wire, where values are in base64. */
const getBytes = ({part, key, value}: ports.StoredRow): number =>
	Math.ceil((value.length * 4) / 3) + part.length + key.length + 80;

/** A store whose answers share one link; the clock advances as they arrive. */
const createSlowStore = (rows: readonly ports.StoredRow[]) => {
	let linkFreeAt = 0;
	const state = {now: 0, bytes: 0};
	const store: ports.RowStore = {
		...ports.createMemoryRowStore(),
		async read({table, from = '', limit = maxRows}, timeoutMs) {
			const sentAt = state.now;
			// Concurrent calls are all sent before the first is answered.
			await Promise.resolve();
			const wanted = rows.filter(
				(row) => row.table === table && row.key >= from,
			);
			let bytes = 0;
			const page = wanted.slice(0, Math.min(limit, maxRows)).filter((row) => {
				bytes += getBytes(row);
				return bytes <= maxBytes;
			});
			const sent = page.reduce((sum, row) => sum + getBytes(row), 0);
			linkFreeAt = Math.max(linkFreeAt, sentAt) + sent / bytesPerMs;
			state.bytes += sent;
			const isLate = linkFreeAt - sentAt > timeoutMs;
			state.now = Math.max(state.now, isLate ? sentAt + timeoutMs : linkFreeAt);
			return isLate
				? {ok: false, error: {kind: 'timeout'}}
				: {
						ok: true,
						value: {
							rows: page,
							version: 9,
							hasMore: page.length < wanted.length,
							nowMs: 0,
						},
					};
		},
	};
	return {store, state};
};

const createRows = (jobs: number, payloadBytes: number) =>
	Array.from({length: jobs}, (_, index) => {
		const id = index.toString(16).padStart(16, '0');
		const payload = 'x'.repeat(payloadBytes);
		const accepted = createAcceptedJob(id, {...createJobSpec(), payload});
		const progress: scheduler.JobProgress = {
			end: 'completed',
			doneOccurrences: 1,
			nextOccurrence: 1,
			occurrences: [],
		};
		const key = {part: 'service/s', key: id, version: 1};
		return [
			{...key, table: 'job', value: JSON.stringify(accepted)},
			{...key, table: 'progress', value: JSON.stringify(progress)},
		];
	}).flat();

const cases = [
	{name: 'small jobs', jobs: 1241, payloadBytes: 100},
	{name: 'jobs of 1 KB', jobs: 1241, payloadBytes: 1000},
	{name: 'the largest jobs', jobs: 1241, payloadBytes: 4000},
];

for (const {name, jobs, payloadBytes} of cases) {
	tap.t.test(`a takeover over a slow link: ${name}`, async (t) => {
		const {store, state} = createSlowStore(createRows(jobs, payloadBytes));
		const loaded = await loadOwner(
			's',
			{
				...heldShard,
				token: 2,
				version: 5,
				previous: 'released',
			},
			{
				store,
				cfg: scheduler.defaultSchedulerConfig,
				clock: {now: () => state.now, epochNow: () => state.now},
				logger: noLogger,
			},
		);
		t.comment(
			`${state.bytes} bytes, ${Math.round(state.now)} ms by the test's clock`,
		);
		t.ok(loaded.ok);
		const found = loaded.ok ? loaded.value.owner.jobs.size : 0;
		t.equal(found, jobs);
	});
}
