import * as tap from 'tap';
import * as core from '@gullstand/core';
import * as faults from '../faults/index.js';
import {createMemoryTableService} from '../memory/table-service.js';
import type {TableService, Write} from '../ports/table-service.js';
import * as client from './index.js';

const createClock = () => {
	let at = 0;
	const env: client.Environment = {
		now: () => at,
		async wait(delayMs) {
			at += delayMs;
		},
		random: () => 0.5,
	};
	return env;
};

const createFaultyTables = (env: client.Environment) => {
	const inner = createMemoryTableService();
	const control = faults.createFaultControl({
		random: () => 0.999,
		wait: env.wait,
		timeoutMs: 100,
	});
	return {inner, control, tables: faults.wrapTableService(inner, control)};
};

const insert = (key: string, table = 'log'): Write => ({
	kind: 'put',
	table,
	key,
	value: key,
	when: {kind: 'absent'},
});

const operation: client.Operation = {
	id: 'own',
	writes: [
		{
			kind: 'put',
			table: 'counter',
			key: 'c',
			value: 2,
			when: {kind: 'version', version: 1},
		},
		insert('2'),
	],
	witness: {table: 'log', key: '2'},
};

const other: Write[] = [{...operation.writes[0]!}, insert('2')] as Write[];

type Case = {
	readonly name: string;
	readonly script: faults.FaultKind[];
	/** Whether another transaction commits the same revision before. */
	readonly hasConflict?: boolean;
	readonly kind: client.CommitOutcome['kind'];
};

const cases: Case[] = [
	{name: 'no fault', script: [], kind: 'committed'},
	{name: 'down', script: ['unavailable'], kind: 'not-committed'},
	{name: 'reply lost', script: ['reply-lost'], kind: 'committed'},
	{name: 'request lost', script: ['request-lost'], kind: 'committed'},
	{
		name: 'reply lost, then down for a while',
		script: ['reply-lost', 'unavailable', 'unavailable', 'unavailable'],
		kind: 'committed',
	},
	{
		name: 'every reply to a commit lost',
		script: ['reply-lost', 'request-lost', 'reply-lost'],
		kind: 'committed',
	},
	{name: 'conflict', script: [], hasConflict: true, kind: 'conflict'},
	{
		name: 'conflict, reply lost',
		script: ['reply-lost'],
		hasConflict: true,
		kind: 'conflict',
	},
];

for (const {name, script, hasConflict = false, kind} of cases) {
	tap.t.test(`commit with read-back: ${name}`, async (t) => {
		const env = createClock();
		const {inner, control, tables} = createFaultyTables(env);
		await inner.commit([insert('c', 'counter')], 'first');
		if (hasConflict) {
			await inner.commit(other, 'other');
		}

		control.script(script);
		const options = {env, deadline: 60_000};
		const outcome = await client.commitWithReadBack(tables, operation, options);
		t.equal(outcome.kind, kind);
		const log = await inner.get('log', '2');
		const isOwn = log.ok && log.value?.operationId === 'own';
		t.equal(isOwn, kind === 'committed', 'the outcome matches the stored rows');
	});
}

tap.t.test(
	'a long outage after a lost request leaves the outcome unknown',
	async (t) => {
		const env = createClock();
		const {inner, control, tables} = createFaultyTables(env);
		await inner.commit([insert('c', 'counter')], 'first');
		control.script(['request-lost']);
		control.set({isDown: true});
		const options = {env, deadline: 10_000};
		const outcome = await client.commitWithReadBack(tables, operation, options);
		t.equal(outcome.kind, 'unknown');
		t.ok(env.now() <= 10_000);
	},
);

tap.t.test(
	'a lost commit followed by another write is not a conflict',
	async (t) => {
		const env = createClock();
		const inner = createMemoryTableService();
		await inner.commit([insert('c', 'counter')], 'first');
		// The reply is lost, and another transaction follows before the read-back.
		let attempts = 0;
		const tables: TableService = {
			...inner,
			async commit(writes, operationId) {
				attempts += 1;
				const result = await inner.commit(writes, operationId);
				if (attempts > 1 || !result.ok) {
					return result;
				}

				const next = {...operation.writes[0]!, when: {kind: 'any'} as const};
				await inner.commit([next], 'next');
				return core.fail({kind: 'timeout'});
			},
		};
		const options = {env, deadline: 10_000};
		const sure = await client.commitWithReadBack(tables, operation, options);
		t.equal(sure.kind, 'committed', 'a write-once witness is certain');
		attempts = 0;
		const row = await inner.get('counter', 'c');
		const version = row.ok ? row.value!.version : 0;
		const shared: client.Operation = {
			id: 'own-2',
			writes: [{...operation.writes[0]!, when: {kind: 'version', version}}],
			witness: {table: 'counter', key: 'c'},
		};
		const unsure = await client.commitWithReadBack(tables, shared, options);
		t.equal(unsure.kind, 'unknown', 'a shared witness is not');
	},
);

tap.t.test('a witness without a precondition is refused', async (t) => {
	const write = {...operation.writes[1]!, when: {kind: 'any'} as const};
	const options = {env: createClock(), deadline: 1};
	const tables = createMemoryTableService();
	return t.rejects(
		client.commitWithReadBack(tables, {...operation, writes: [write]}, options),
		TypeError,
	);
});

tap.t.test(
	'the guard limits the rate and refuses calls in an outage',
	async (t) => {
		const env = createClock();
		const {control, tables: faulty} = createFaultyTables(env);
		const guard = client.createGuard(
			{
				...client.defaultGuardConfig,
				share: {readsPerSecond: 100, writesPerSecond: 10},
			},
			env,
		);
		const tables = client.createGuardedTableService(faulty, guard);
		for (let index = 0; index < 50; index++) {
			await tables.commit([insert(`${index}`)], 'x');
		}

		t.ok(env.now() >= 5000, 'fifty writes at 10 a second');
		control.set({isDown: true});
		const before = guard.counts.writes;
		for (let index = 0; index < 1000; index++) {
			const result = await tables.commit([insert('down')], 'x');
			t.match(result, {error: {kind: 'unavailable'}});
		}

		t.equal(guard.getBreaker().kind, 'open');
		t.ok(guard.counts.writes - before <= 10, 'most calls were not sent');
		control.set({isDown: false});
		await env.wait(10_000);
		t.match(await tables.commit([insert('up')], 'x'), {ok: true});
		t.match(guard.getBreaker(), {kind: 'closed'});
	},
);

tap.t.test('a get returns what was committed before it began', async (t) => {
	const env = createClock();
	const share = {readsPerSecond: 100, writesPerSecond: 10};
	const guard = client.createGuard({...client.defaultGuardConfig, share}, env);
	const memory = createMemoryTableService();
	let release: () => void = () => undefined;
	const held = new Promise<void>((resolve) => {
		release = resolve;
	});
	let gets = 0;
	const inner: TableService = {
		...memory,
		async get(table, key) {
			gets += 1;
			const read = await memory.get(table, key);
			// Delays the answer to the first read, with the row as it was then.
			await (gets === 1 ? held : undefined);
			return read;
		},
	};
	const tables = client.createGuardedTableService(inner, guard);
	const older = tables.get('log', 'a');
	await tables.commit([insert('a')], 'own');
	const newer = await tables.get('log', 'a');
	release();
	t.match(newer, {ok: true, value: {operationId: 'own'}});
	t.same(await older, {ok: true, value: undefined});
	t.equal(guard.counts.reads, 2);
});

const submitAll = async (
	tables: TableService,
	env: client.Environment,
	keys: readonly string[],
) => {
	let ids = 0;
	const batcher = client.createCommitBatcher({
		tables,
		env,
		createId: () => `group-${++ids}`,
	});
	return Promise.all(
		keys.map(async (key) =>
			batcher.submit({
				writes: [insert(key)],
				witness: {table: 'log', key},
			}),
		),
	);
};

tap.t.test(
	'a group commits as one, without the members that conflict',
	async (t) => {
		const env = createClock();
		const {inner, control, tables} = createFaultyTables(env);
		await inner.commit([insert('b')], 'before');
		control.script(['reply-lost']);
		const outcomes = await submitAll(tables, env, ['a', 'b', 'c', 'c']);
		t.same(
			outcomes.map(({kind}) => kind),
			['committed', 'conflict', 'committed', 'conflict'],
		);
		t.match(outcomes[1], {current: {operationId: 'before'}});
		t.equal(outcomes[0]!.operationId, outcomes[2]!.operationId);
	},
);

tap.t.test('a group that is too large is split', async (t) => {
	const limits = {
		maxValueBytes: 100,
		maxWritesPerCommit: 3,
		maxRowsPerRange: 9,
	};
	const tables = createMemoryTableService(limits);
	const keys = Array.from({length: 10}, (_, index) => `${index}`);
	const outcomes = await submitAll(tables, createClock(), keys);
	t.ok(outcomes.every(({kind}) => kind === 'committed'));
	t.equal(tables.dump().length, 10);
});
