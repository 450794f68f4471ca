/** Property test: commitWithReadBack under faults, late effects and rivals. */
import * as assert from 'node:assert/strict';
import * as core from '@gullstand/core';
import * as fc from 'fast-check';
import * as tap from 'tap';
import {createMemoryTableService} from '../memory/table-service.js';
import type {TableService, Write} from '../ports/table-service.js';
import * as client from './index.js';

/** Events of one call; `late` takes effect after some later call. */
const events = [
	'none',
	'unavailable',
	'request-lost',
	'reply-lost',
	'late',
	'rival-first',
] as const;

type Event = (typeof events)[number];

const createWrites = (revision: number, version: number): Write[] => [
	{
		kind: 'put',
		table: 'counter',
		key: 'c',
		value: revision,
		when: {kind: 'version', version},
	},
	{
		kind: 'put',
		table: 'log',
		key: String(revision),
		value: null,
		when: {kind: 'absent'},
	},
];

const unknown = core.fail({kind: 'timeout'} as const);

const createRandomTables = (
	script: readonly Event[],
	delays: readonly number[],
) => {
	const inner = createMemoryTableService();
	const late: Array<{after: number; run: () => Promise<unknown>}> = [];
	let calls = 0;
	let rivals = 0;
	const commitRival = async () => {
		const row = await inner.get('counter', 'c');
		const value = row.ok ? row.value! : undefined;
		rivals += 1;
		const revision = Number(value!.value) + 1;
		const writes = createWrites(revision, value!.version);
		await inner.commit(writes, `rival-${rivals}`);
	};

	const runLate = async (isEnd = false) => {
		for (const each of late) {
			each.after -= 1;
			if (isEnd || each.after < 0) {
				late.splice(late.indexOf(each), 1);
				await each.run();
			}
		}
	};

	const runWithEvent = async <Value, Failure>(
		action: () => Promise<core.Result<Value, Failure>>,
	) => {
		const event = script[calls] ?? 'none';
		const after = delays[calls] ?? 0;
		calls += 1;
		await runLate();
		switch (event) {
			case 'none': {
				return action();
			}

			case 'unavailable': {
				return core.fail({kind: 'unavailable'} as const);
			}

			case 'request-lost': {
				return unknown;
			}

			case 'reply-lost': {
				await action();
				return unknown;
			}

			case 'late': {
				late.push({after, run: action});
				return unknown;
			}

			case 'rival-first': {
				await commitRival();
				return action();
			}
		}
	};

	const tables: TableService = {
		get: async (table, key) => runWithEvent(async () => inner.get(table, key)),
		range: async (query) => runWithEvent(async () => inner.range(query)),
		commit: async (writes, id) =>
			runWithEvent(async () => inner.commit(writes, id)),
	};
	return {inner, tables, runLate};
};

const runCase = async (
	script: readonly Event[],
	delays: readonly number[],
	witness: client.Operation['witness'],
) => {
	const {inner, tables, runLate} = createRandomTables(script, delays);
	const first: Write = {
		kind: 'put',
		table: 'counter',
		key: 'c',
		value: 1,
		when: {kind: 'absent'},
	};
	await inner.commit([first], 'first');
	let at = 0;
	const env: client.Environment = {
		now: () => at,
		async wait(delayMs) {
			at += delayMs;
		},
		random: () => 0.5,
	};
	const outcome = await client.commitWithReadBack(
		tables,
		{id: 'own', writes: createWrites(2, 1), witness},
		{env, deadline: 3000},
	);
	await runLate(true);
	const log = await inner.get('log', '2');
	const hasCommitted = log.ok && log.value?.operationId === 'own';
	return {outcome, hasCommitted};
};

const witnesses = [
	{name: 'write-once', witness: {table: 'log', key: '2'}},
	{name: 'shared', witness: {table: 'counter', key: 'c'}},
];

for (const {name, witness} of witnesses) {
	tap.t.test(`${name}: a certain outcome is never wrong`, async (t) => {
		const seen = new Set<string>();
		await fc.assert(
			fc.asyncProperty(
				fc.array(fc.constantFrom(...events), {maxLength: 12}),
				fc.array(fc.nat(6), {minLength: 12, maxLength: 12}),
				async (script, delays) => {
					const {outcome, hasCommitted} = await runCase(
						script,
						delays,
						witness,
					);
					seen.add(outcome.kind);
					if (outcome.kind !== 'unknown') {
						assert.equal(hasCommitted, outcome.kind === 'committed');
					}
				},
			),
			{seed: 4, numRuns: 3000},
		);
		t.same([...seen].toSorted(), [
			'committed',
			'conflict',
			'not-committed',
			'unknown',
		]);
	});
}
