import * as core from '@gullstand/core';
import * as platform from '@gullstand/ports';
import * as standIn from '@gullstand/stand-in';
import * as tap from 'tap';
import {idempotencyTable} from './group-writer.js';
import {createSweeper} from './sweeper.js';

const {clockSkewMs} = core.idempotency.defaultSettings;
const expiresAt = 1_000_000;
const removableAt = expiresAt + 2 * clockSkewMs;

const base = {
	fingerprint: 'f',
	holder: {entry: 'e', incarnation: 'i', operationId: 'op'},
	startedAt: 0,
	deadlineAt: 1,
	settleAt: 2,
	expiresAt,
};
const headers: Array<readonly [string, string]> = [];
const inline = {kind: 'inline', status: 200, headers, bodyBase64: ''} as const;
const object = {
	kind: 'object',
	status: 200,
	headers,
	name: 'idempotency/op-2',
	bytes: 1,
} as const;

type Row = {
	readonly name: string;
	readonly value: platform.JsonValue;
	readonly object?: string;
	readonly removed: boolean;
};

const rows: Row[] = [
	{
		name: 'finished',
		value: {...base, state: 'finished', answer: inline},
		removed: true,
	},
	{
		name: 'finished, large',
		value: {...base, state: 'finished', answer: object},
		object: object.name,
		removed: true,
	},
	{
		name: 'started, with an answer put',
		value: {...base, state: 'started'},
		object: 'idempotency/op',
		removed: true,
	},
	{name: 'released', value: {...base, state: 'released'}, removed: true},
	{name: 'unknown', value: {...base, state: 'unknown'}, removed: true},
	{
		name: 'not yet expired on every clock',
		value: {...base, state: 'unknown', expiresAt: expiresAt + 1},
		removed: false,
	},
	{name: 'not understood', value: {expiresAt}, removed: false},
];

const createFixture = (pageRows: number) => {
	const clock = standIn.createVirtualClock();
	const tables = platform.createMemoryTableService();
	const objects = platform.createMemoryObjectStore();
	const put = async (key: string, value: platform.JsonValue) =>
		tables.commit(
			[{kind: 'put', table: idempotencyTable, key, value, when: {kind: 'any'}}],
			'op',
		);
	const create = (reached: platform.TableService = tables) =>
		createSweeper({
			tables: reached,
			objects,
			clock: {
				getTime: () => ({
					now: clock.getNow(),
					date: removableAt + 1,
				}),
				callAt: clock.callAt,
			},
			randomness: {createId: () => 'id', draw: () => 0.5},
			clockSkewMs,
			settings: {...core.idempotency.defaultSweepSettings, pageRows},
		});
	const listKeys = async () => {
		const result = await tables.range({
			table: idempotencyTable,
			prefix: '',
			limit: 1000,
		});
		return result.ok ? result.value.map(({key}) => key) : [];
	};

	return {clock, tables, objects, put, create, listKeys};
};

for (const pageRows of [1, 3, 500]) {
	tap.t.test(`pages of ${pageRows}`, async (t) => {
		const fixture = createFixture(pageRows);
		for (const row of rows) {
			await fixture.put(row.name, row.value);
			await (row.object && fixture.objects.put(row.object, new Uint8Array(1)));
		}

		const sweeper = fixture.create();
		await sweeper.start(t.fail);
		await fixture.clock.runUntil(200_000);
		await sweeper.stop(0);
		t.same(
			await fixture.listKeys(),
			rows
				.filter(({removed}) => !removed)
				.map(({name}) => name)
				.toSorted(),
		);
		t.equal(sweeper.getRemovedCount(), 5);
		for (const {object: name} of rows) {
			const result = name ? await fixture.objects.get(name) : undefined;
			t.notOk(result?.ok && result.value, name ?? 'no object');
		}
	});
}

tap.t.test('a key that is claimed again meanwhile stays', async (t) => {
	const fixture = createFixture(500);
	for (const key of ['a', 'b', 'c']) {
		await fixture.put(key, {...base, state: 'unknown'});
	}

	let isClaimed = false;
	const sweeper = fixture.create({
		...fixture.tables,
		async commit(writes, operationId) {
			if (!isClaimed) {
				isClaimed = true;
				await fixture.put('b', {...base, state: 'started', expiresAt: 1e9});
			}

			return fixture.tables.commit(writes, operationId);
		},
	});
	await sweeper.start(t.fail);
	await fixture.clock.runUntil(8000);
	await sweeper.stop(0);
	t.same(await fixture.listKeys(), ['b']);
});
