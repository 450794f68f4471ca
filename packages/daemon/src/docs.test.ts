/** The reference pages must match the error table and the settings schema. */
import {readFile} from 'node:fs/promises';
import * as tap from 'tap';
import * as core from '@gullstand/core';
import {checkSettings} from './settings/load-settings.js';
import {settingsSchema} from './settings/schema.js';

const readPage = async (name: string): Promise<string> =>
	readFile(new URL(`../../../docs/operators/${name}`, import.meta.url), 'utf8');

const rowPattern = /^\| `([^`]+)` \|/gmv;

const listRows = (page: string): string[] =>
	[...page.matchAll(rowPattern)].map((row) => row[1] ?? '').toSorted();

tap.t.test('errors.md has a correct row for every kind', async (t) => {
	const page = await readPage('errors.md');
	t.same(listRows(page), Object.keys(core.errors.errorTable).toSorted());
	for (const [kind, row] of Object.entries(core.errors.errorTable)) {
		const {status, outcome, retry} = row;
		const cells = `| \`${kind}\` | ${status} | ${outcome} | ${retry} |`;
		t.ok(page.includes(cells), kind);
	}
});

type Shape = {
	def: {innerType?: Shape; options?: Shape[]};
	shape?: Record<string, Shape>;
};

const listKeys = (schema: Shape, prefix: string): string[] => {
	const {innerType, options} = schema.def;
	if (innerType) {
		return listKeys(innerType, prefix);
	}

	if (options && !schema.shape) {
		const keys = options.flatMap((each) =>
			each.shape ? listKeys(each, prefix) : [prefix],
		);
		return [...new Set(keys)];
	}

	return schema.shape
		? Object.entries(schema.shape).flatMap(([key, each]) =>
				listKeys(each, prefix ? `${prefix}.${key}` : key),
			)
		: [prefix];
};

tap.t.test('settings.md has a row for every key', async (t) => {
	const page = await readPage('settings.md');
	const keys = listKeys(settingsSchema as unknown as Shape, '');
	t.same(listRows(page), keys.toSorted());
});

tap.t.test('the example of settings.md is valid', async (t) => {
	const page = await readPage('settings.md');
	const example = /```toml\n([^`]+)```/v.exec(page)?.[1] ?? '';
	t.match(checkSettings('settings.md', example), {ok: true});
});
