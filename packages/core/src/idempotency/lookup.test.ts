import * as tap from 'tap';
import * as lookup from './lookup.js';
import type {Lookup} from './lookup.js';
import type {KeyRow, StoredRow} from './row.js';
import {defaultSettings} from './settings.js';

const {clockSkewMs, maxPollMs} = defaultSettings;
const holder = {entry: 'entry-1', incarnation: 'a', operationId: 'op-1'};
const base = {
	fingerprint: 'same',
	holder,
	startedAt: 0,
	deadlineAt: 5000,
	settleAt: 65_000,
	expiresAt: 1_000_000,
};
const started: KeyRow = {...base, state: 'started'};
const inline = {
	kind: 'inline',
	status: 201,
	headers: [],
	bodyBase64: '',
} as const;
const finished: KeyRow = {...base, state: 'finished', answer: inline};
const notKept: KeyRow = {
	...base,
	state: 'finished',
	answer: {kind: 'not-kept', status: 201},
};
const store = (row: KeyRow | undefined): StoredRow => ({version: 7, row});
const take: Lookup = {kind: 'take', when: {kind: 'version', version: 7}};
const unknown: Lookup = {kind: 'refuse', error: 'outcome-unknown'};
const reused: Lookup = {kind: 'refuse', error: 'key-reused'};
const expiredAt = base.expiresAt + clockSkewMs + 1;

const table: Array<[string, StoredRow | undefined, string, number, Lookup]> = [
	['no row', undefined, 'same', 0, {kind: 'take', when: {kind: 'absent'}}],
	['unparsable row', store(undefined), 'same', 0, unknown],
	['another body', store(started), 'other', 0, reused],
	['another body, finished', store(finished), 'other', 0, reused],
	[
		'another body, released',
		store({...base, state: 'released'}),
		'other',
		0,
		reused,
	],
	[
		'started',
		store(started),
		'same',
		1000,
		{kind: 'wait', row: started, forMs: 4000 + maxPollMs},
	],
	[
		'started, past the deadline',
		store(started),
		'same',
		5000 + maxPollMs,
		{kind: 'refuse', error: 'still-running', retryAfterMs: maxPollMs},
	],
	['started, past the last write', store(started), 'same', 75_001, unknown],
	['finished', store(finished), 'same', 0, {kind: 'replay', row: finished}],
	[
		'finished, answer not stored',
		store(notKept),
		'same',
		0,
		{kind: 'refuse', error: 'answer-not-kept'},
	],
	['released', store({...base, state: 'released'}), 'same', 0, take],
	['unknown', store({...base, state: 'unknown'}), 'same', 0, unknown],
	[
		'finished, expired within the clock skew',
		store(finished),
		'same',
		expiredAt - 1,
		{kind: 'replay', row: finished},
	],
	['finished, expired', store(finished), 'same', expiredAt, take],
	['started, expired', store(started), 'same', expiredAt, take],
	['another body, expired', store(finished), 'other', expiredAt, take],
];

for (const [name, stored, fingerprint, date, expected] of table) {
	tap.t.test(name, async (t) => {
		const self = {...holder, entry: 'entry-2', operationId: 'op-2'};
		const context = {fingerprint, holder: self, settings: defaultSettings};
		t.same(lookup.decideLookup(stored, context, date), expected);
	});
}

const holderCases: Array<[string, string, string, string]> = [
	['another incarnation of this entry', 'entry-1', 'b', 'still-running'],
	['the same incarnation of this entry', 'entry-1', 'a', 'wait'],
	['another entry', 'entry-2', 'b', 'wait'],
];

for (const [name, entry, incarnation, kind] of holderCases) {
	tap.t.test(`started by ${name}`, async (t) => {
		const self = {entry, incarnation, operationId: 'op-2'};
		const context = {
			fingerprint: 'same',
			holder: self,
			settings: defaultSettings,
		};
		const decision = lookup.decideLookup(store(started), context, 0);
		t.equal(decision.kind === 'refuse' ? decision.error : decision.kind, kind);
	});
}
