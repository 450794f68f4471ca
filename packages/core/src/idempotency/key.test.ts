import * as fc from 'fast-check';
import * as tap from 'tap';
import * as keys from './key.js';
import * as rows from './row.js';
import * as settings from './settings.js';

const headers: Array<[string, string | undefined, string]> = [
	['missing', undefined, 'key-required'],
	['empty', '', 'key-required'],
	['255 characters', 'a'.repeat(255), 'taken'],
	['256 characters', 'a'.repeat(256), 'key-invalid'],
	['first and last visible ASCII characters', '!~', 'taken'],
	['a space', 'a b', 'key-invalid'],
	['a line end', 'a\n', 'key-invalid'],
	['a non-ASCII letter', 'ä', 'key-invalid'],
	['a control character', 'a\u007F', 'key-invalid'],
];

for (const [name, header, expected] of headers) {
	tap.t.test(`key: ${name}`, async (t) => {
		const result = keys.parseKey(header);
		t.equal(result.ok ? 'taken' : result.error, expected);
	});
}

const routes: Array<[boolean, string, boolean]> = [
	[true, '/quotes', false],
	[true, '/claims/1', true],
	[false, '/quotes', true],
];

for (const [idempotent, path, expected] of routes) {
	tap.t.test(`${path}, service idempotent: ${idempotent}`, async (t) => {
		const service = {idempotent, nonRepeatableRoutes: ['/claims']};
		t.equal(keys.isKeyRequired(service, path), expected);
	});
}

tap.t.test('two customers never share a row', async (t) => {
	const text = fc.string({unit: 'grapheme-ascii'});
	const pair = fc.tuple(text, text);
	fc.assert(
		fc.property(pair, pair, (one, two) => {
			const isSame = one[0] === two[0] && one[1] === two[1];
			const isSameRow = keys.formatRowKey(...one) === keys.formatRowKey(...two);
			return isSame === isSameRow;
		}),
		{seed: 1, numRuns: 2000},
	);
	t.not(keys.formatRowKey('a/b', 'c'), keys.formatRowKey('a', 'b/c'));
});

tap.t.test('any JSON value is parsed as a row or rejected', async (t) => {
	fc.assert(
		fc.property(fc.jsonValue(), (value) => {
			const row = rows.parseRow(value);
			return row === undefined || row === value;
		}),
		{seed: 2, numRuns: 2000},
	);
	const row = {
		state: 'finished',
		fingerprint: 'f',
		holder: {entry: 'e', incarnation: 'i', operationId: 'o'},
		startedAt: 1,
		deadlineAt: 2,
		settleAt: 3,
		expiresAt: 4,
		answer: {
			kind: 'object',
			status: 200,
			headers: [['a', 'b']],
			name: 'n',
			bytes: 1,
		},
	};
	t.same(rows.parseRow(row), row);
	const broken: Array<[string, unknown]> = [
		['an unknown state', {...row, state: 'done'}],
		['no answer', {...row, answer: undefined}],
		[
			'a header without value',
			{...row, answer: {...row.answer, headers: [['a']]}},
		],
		['no length', {...row, answer: {...row.answer, bytes: undefined}}],
		['no operation id', {...row, holder: {entry: 'e', incarnation: 'i'}}],
		['no time', {...row, settleAt: null}],
	];
	for (const [name, value] of broken) {
		t.equal(rows.parseRow(value), undefined, name);
	}
});

tap.t.test('invalid settings are found', async (t) => {
	const {defaultSettings, checkSettings} = settings;
	t.same(checkSettings(defaultSettings), []);
	const problems = checkSettings({
		...defaultSettings,
		retentionMs: 599_999,
		pollMs: 0,
	});
	t.same(
		problems.map(({key, found}) => [key, found]),
		[
			['pollMs', 0],
			['retentionMs', 599_999],
		],
	);
	const slow = {
		...defaultSettings,
		retentionMs: 700_000,
		dispatchWithinMs: 10_000,
		settleWithinMs: 400_000,
	};
	t.match(checkSettings(slow), [
		{key: 'retentionMs', allowed: 'at least 840000'},
	]);
});
