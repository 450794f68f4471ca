import * as tap from 'tap';
import type {Precondition, Write} from '../ports/table-service.js';
import {createMemoryTableService} from './table-service.js';

const put = (key: string, value: string, when: Precondition): Write => ({
	kind: 'put',
	table: 't',
	key,
	value,
	when,
});
const any: Precondition = {kind: 'any'};

const preconditions: Array<[string, Precondition, boolean, boolean]> = [
	['any on an absent row', any, false, true],
	['any on a row', any, true, true],
	['absent on an absent row', {kind: 'absent'}, false, true],
	['absent on a row', {kind: 'absent'}, true, false],
	['version on an absent row', {kind: 'version', version: 1}, false, false],
	['the same version', {kind: 'version', version: 1}, true, true],
	['another version', {kind: 'version', version: 2}, true, false],
];

for (const kind of ['put', 'delete', 'check'] as const) {
	for (const [name, when, isPresent, commits] of preconditions) {
		tap.t.test(`${kind}: ${name}`, async (t) => {
			const store = createMemoryTableService();
			if (isPresent) {
				await store.commit([put('a', 'old', any)], 'op-1');
			}

			const write: Write =
				kind === 'put'
					? put('a', 'new', when)
					: {kind, table: 't', key: 'a', when};
			const result = await store.commit([put('b', 'b', any), write], 'op-2');
			t.equal(result.ok, commits);
			const other = await store.get('t', 'b');
			t.equal(other.ok && other.value !== undefined, commits, 'all or none');
			if (!result.ok) {
				t.match(result.error, {kind: 'conflict', table: 't', key: 'a'});
			}
		});
	}
}

tap.t.test(
	'a version is never reused after a delete or a restore',
	async (t) => {
		const store = createMemoryTableService();
		await store.commit([put('a', '1', any)], 'op-1');
		const backup = store.dump();
		await store.commit([put('a', '2', any)], 'op-2');
		await store.commit(
			[{kind: 'delete', table: 't', key: 'a', when: any}],
			'x',
		);
		await store.commit([put('a', '3', any)], 'op-3');
		t.match(await store.get('t', 'a'), {value: {version: 3, value: '3'}});
		store.restore(backup);
		t.match(await store.get('t', 'a'), {value: {version: 1, value: '1'}});
		const result = await store.commit([put('a', '4', any)], 'op-4');
		t.same(result, {ok: true, value: {versions: [4]}});
		t.match(await store.get('t', 'a'), {value: {operationId: 'op-4'}});
	},
);

const ranges: Array<[string, string | undefined, number, string[]]> = [
	['', undefined, 10, ['a', 'b/1', 'b/2', 'b/3', 'c']],
	['b/', undefined, 10, ['b/1', 'b/2', 'b/3']],
	['b/', 'b/1', 10, ['b/2', 'b/3']],
	['b/', 'a', 2, ['b/1', 'b/2']],
	['b/', 'b/3', 10, []],
	['b/', 'c', 10, []],
	['', undefined, 0, []],
	['d', undefined, 10, []],
];

for (const [prefix, after, limit, expected] of ranges) {
	tap.t.test(`range '${prefix}' after ${after} limit ${limit}`, async (t) => {
		const store = createMemoryTableService();
		for (const key of ['c', 'b/2', 'a', 'b/3', 'b/1']) {
			await store.commit([put(key, key, any)], key);
		}

		const query = {table: 't', prefix, limit, ...(after && {after})};
		const result = await store.range(query);
		t.same(result.ok && result.value.map((row) => row.key), expected);
	});
}

tap.t.test('a commit over a limit is refused without effect', async (t) => {
	const store = createMemoryTableService({
		maxValueBytes: 6,
		maxWritesPerCommit: 2,
		maxRowsPerRange: 1,
	});
	const tooLarge = {ok: false, error: {kind: 'too-large'}};
	const large = [put('a', '1', any), put('b', '12345', any)];
	t.match(await store.commit(large, 'op-1'), tooLarge);
	const many = ['a', 'b', 'c'].map((key) => put(key, '1', any));
	t.match(await store.commit(many, 'op-2'), tooLarge);
	t.same(store.dump(), []);
	await store.commit(many.slice(1), 'op-3');
	const result = await store.range({table: 't', prefix: '', limit: 5});
	t.equal(result.ok ? result.value.length : undefined, 1);
});

tap.t.test('a transaction that names a row twice throws', async (t) => {
	const store = createMemoryTableService();
	const writes = [put('a', '1', any), put('a', '2', any)];
	return t.rejects(store.commit(writes, 'op-1'), TypeError);
});
