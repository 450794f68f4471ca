import * as tap from 'tap';
import {emptyView, type View} from '../types/view.js';
import {
	createAcknowledgement,
	chooseNewerAcknowledgement,
	type Acknowledgement,
} from './acknowledgement.js';
import {
	countEntriesWithoutContact,
	forgetEntry,
	type ForgetEvidence,
} from './forget-entry.js';
import {listPendingAcknowledgements} from './pending-acknowledgements.js';
import {listMonitoredPeers} from './monitored-peers.js';
import {
	emptyObservations,
	getUnchangedMs,
	observeVersions,
} from './observation.js';
import type {Registration} from './registration.js';
import {
	changeMode,
	confirmMembership,
	isSafeSettings,
	mayControl,
	mayRoute,
	membershipDefaults,
	type ConfirmationSource,
	type EntryMode,
	type MembershipStatus,
} from './membership-status.js';

const createAck = (change: Partial<Acknowledgement> = {}): Acknowledgement => ({
	entry: 'e1',
	incarnation: 'b',
	sequence: 5,
	inForce: 7,
	holding: [],
	...change,
});

const createRegistration = (
	change: Partial<Acknowledgement> = {},
): Registration => ({
	address: '127.0.0.1:1',
	availabilityZone: 'z',
	heard: [],
	quorum: [],
	upMs: 60_000,
	acknowledged: createAck(change),
});

const view: View = {
	...emptyView,
	revision: 9,
	instances: new Map(
		(['serving', 'draining', 'away'] as const).map((state) => [
			state,
			{
				id: state,
				state,
				kind: 'executor',
				address: '',
				pool: 'p',
				epoch: 1,
				region: 'r',
				availabilityZone: 'z',
				rack: 'k',
			},
		]),
	),
};

tap.t.test(
	'acknowledges the routed revision and instances with requests in flight',
	async (t) => {
		const inFlight = new Map([
			['serving', 3],
			['draining', 1],
			['away', 0],
			['deleted', 1],
		]);
		const self = {entry: 'e1', incarnation: 'b'};
		const router = {routedRevision: 8, inFlight};
		t.same(createAcknowledgement(self, 2, {view, router}), {
			...self,
			sequence: 2,
			inForce: 8,
			holding: ['draining', 'deleted'],
		});
		t.match(
			createAcknowledgement(self, 2, {
				view,
				router: {
					routedRevision: 9,
					inFlight: new Map(),
					mayHaveInheritedRequests: true,
				},
			}),
			{holding: ['draining']},
		);
		const sponsored = [createAck({inForce: 3, holding: ['x']})];
		t.match(createAcknowledgement(self, 2, {view, router, sponsored}), {
			inForce: 3,
			holding: ['draining', 'deleted', 'x'],
		});
	},
);

const received: ReadonlyArray<
	readonly [string, Partial<Acknowledgement>, number]
> = [
	['newer', {sequence: 6, inForce: 8}, 8],
	['reordered', {sequence: 4, inForce: 9}, 7],
	['earlier incarnation', {sequence: 99, inForce: 9, incarnation: 'a'}, 7],
	['other entry', {sequence: 99, inForce: 9, entry: 'e2'}, 7],
];

for (const [name, change, inForce] of received) {
	tap.t.test(`receives an acknowledgement: ${name}`, async (t) => {
		const updated = chooseNewerAcknowledgement(createAck(), createAck(change));
		t.equal(updated.inForce, inForce);
	});
}

tap.t.test('a change waits for every registered entry', async (t) => {
	const registrations = [
		createRegistration(),
		createRegistration({entry: 'e2', inForce: 9, holding: ['x']}),
		createRegistration({entry: 'e3', inForce: 9}),
	];
	const receivedByEntry = new Map([
		['e1', createAck({sequence: 99, inForce: 9, incarnation: 'a'})],
	]);
	t.match(
		listPendingAcknowledgements(registrations, receivedByEntry, {
			revision: 9,
			instance: 'x',
		}),
		[
			{entry: 'e1', reason: 'not-in-force', inForce: 7},
			{entry: 'e2', reason: 'holding'},
		],
	);
	t.match(
		listPendingAcknowledgements(registrations, receivedByEntry, {revision: 9}),
		[{entry: 'e1'}],
	);
	const newer = new Map([['e1', createAck({sequence: 6, inForce: 9})]]);
	t.same(listPendingAcknowledgements(registrations, newer, {revision: 9}), []);
});

tap.t.test('only observed time counts as unresponsive', async (t) => {
	const maxGapMs = 3000;
	let seen = emptyObservations;
	const read = (version: number, now: number) => {
		seen = observeVersions(seen, new Map([['e1', version]]), maxGapMs, now);
		return getUnchangedMs(seen, 'e1', version);
	};

	t.equal(read(4, 0), 0);
	t.equal(read(4, 2000), 2000);
	t.equal(read(5, 4000), 0);
	t.equal(read(5, 6000), 2000);
	// The store was unavailable, so the row could not change.
	t.equal(read(5, 600_000), 0);
	t.equal(getUnchangedMs(seen, 'e1', 4), 0);
});

const confirmations: ReadonlyArray<
	readonly [EntryMode, ConfirmationSource, boolean]
> = [
	['registered', 'table', true],
	['registered', 'list', true],
	['registered', 'majority', true],
	['registered', 'sponsor', false],
	['sponsored', 'sponsor', true],
	['sponsored', 'list', false],
	['snapshot', 'snapshot', true],
	['snapshot', 'majority', false],
];

for (const [mode, source, isConfirmed] of confirmations) {
	tap.t.test(`${mode} entry, confirmed by ${source}`, async (t) => {
		const {isolationMs} = membershipDefaults;
		const initial = changeMode(mode, 0);
		const confirm = (
			status: MembershipStatus,
			askedAt: number,
			answeredAt = askedAt,
		) =>
			confirmMembership(
				status,
				source,
				{askedAt, answeredAt},
				membershipDefaults,
			);
		const status = confirm(initial, 5000);
		const at = isolationMs + 1000;
		t.equal(mayRoute(status, membershipDefaults, at), isConfirmed);
		t.equal(
			mayControl(status, membershipDefaults, at),
			isConfirmed && mode === 'registered',
		);
		t.equal(confirm(status, 1000), status);
		// Nobody can have removed the entry within 18 s of its confirmation.
		t.equal(confirm(initial, 10_000, 17_999) !== initial, isConfirmed);
		t.equal(
			confirm(initial, 10_000, 18_000) !== initial,
			isConfirmed && !['list', 'majority'].includes(source),
		);
		t.equal(
			confirm(changeMode(mode, Number.NEGATIVE_INFINITY), 10_000).confirmedAt,
			isConfirmed && !['list', 'majority'].includes(source)
				? 10_000
				: Number.NEGATIVE_INFINITY,
			'an entry that was removed',
		);
	});
}

const terminated: ForgetEvidence = {
	entry: 'e1',
	version: 3,
	unchangedMs: membershipDefaults.forgetAfterMs,
	unlistedMs: membershipDefaults.forgetAfterMs,
	entriesWithoutContact: 5,
	quorum: 9,
};

const forgetCases: ReadonlyArray<
	readonly [Partial<ForgetEvidence>, string | undefined]
> = [
	[{}, undefined],
	[{unchangedMs: 35_999}, 'renewed'],
	[{unlistedMs: 35_999}, 'listed'],
	[{entriesWithoutContact: 4}, 'heard'],
	[{entriesWithoutContact: 1, quorum: 2}, 'heard'],
	[{entriesWithoutContact: 0, quorum: 1}, 'heard'],
];

for (const [change, refusal] of forgetCases) {
	tap.t.test(`forgets an entry: ${refusal ?? 'terminated'}`, async (t) => {
		const evidence = {...terminated, ...change};
		const result = forgetEntry(evidence, membershipDefaults, 'e2');
		t.equal(result.ok ? undefined : result.error, refusal);
	});
}

tap.t.test(
	'only entries with renewed rows count as without contact',
	async (t) => {
		const createRow = (
			change: Partial<Registration>,
			unchangedMs: number,
			entry = 'e1',
		) => ({
			registration: {...createRegistration({entry}), ...change},
			unchangedMs,
		});
		const unresponsive = {
			...createRegistration({entry: 'x'}),
			quorum: ['e1', 'x'],
		};
		const rows = [
			createRow({}, 0),
			createRow({heard: ['x']}, 0),
			createRow({upMs: 35_999}, 0),
			createRow({}, 4000),
			createRow({}, 0, 'x'),
			createRow({}, 0, 'outside'),
		];
		t.equal(
			countEntriesWithoutContact(unresponsive, rows, membershipDefaults),
			1,
		);
	},
);

tap.t.test(
	'settings must not allow an entry to be forgotten before it stops',
	async (t) => {
		t.ok(isSafeSettings(membershipDefaults));
		t.notOk(isSafeSettings({...membershipDefaults, forgetAfterMs: 35_999}));
	},
);

const rings: ReadonlyArray<readonly [string, readonly string[], string]> = [
	['b', ['d', 'a', 'c', 'b', 'e'], 'c d e'],
	['d', ['d', 'a', 'c', 'b', 'e'], 'e a b'],
	['e', ['d', 'a', 'c', 'b', 'e'], 'a b c'],
	['a', ['a', 'b'], 'b'],
	['a', ['a'], ''],
	['x', ['a', 'b'], 'a b'],
];

for (const [self, entries, expected] of rings) {
	tap.t.test(`${self} monitors ${expected || 'no peer'}`, async (t) => {
		t.equal(listMonitoredPeers(self, entries).join(' '), expected);
	});
}
