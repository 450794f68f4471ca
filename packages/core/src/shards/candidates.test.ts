/**
 * Guards against a fleet without candidates, or with a number of candidates
 * that grows with the fleet.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import type {EntryCapacity, LiveEntry} from './shard-assignment.js';
import {
	isCandidateNeeded,
	leaveDelayMs,
	maxJoinDelayMs,
	observerState,
	candidateCount,
	stepCandidate,
	type CandidateState,
} from './candidates.js';

const large: EntryCapacity = {cores: 1.35, linkMbps: 140};
const small: EntryCapacity = {cores: 0.324, linkMbps: 14};

const stepMs = 500;

type Fleet = {
	readonly entries: readonly LiveEntry[];
	readonly states: Map<string, CandidateState>;
	holders: ReadonlySet<string>;
	terminated: ReadonlySet<string>;
	at: number;
};

const createFleet = (
	count: number,
	largeCount: number,
	holderCount: number,
): Fleet => {
	const entries = Array.from({length: count}, (_, index) => ({
		entry: `e${index}`,
		capacity: index < largeCount ? large : small,
	}));
	return {
		entries,
		states: new Map(entries.map(({entry}) => [entry, observerState])),
		holders: new Set(entries.slice(0, holderCount).map(({entry}) => entry)),
		terminated: new Set(),
		at: 0,
	};
};

const sendsHeartbeat = (
	{states, holders, terminated}: Fleet,
	entry: string,
): boolean =>
	!terminated.has(entry) &&
	(holders.has(entry) || states.get(entry)?.isCandidate === true);

/** Every entry decides by the heartbeats of the previous step. */
const step = (fleet: Fleet): void => {
	const {entries, states, holders, terminated} = fleet;
	const live = entries.filter(({entry}) => sendsHeartbeat(fleet, entry));
	const next = entries
		.filter(({entry}) => !terminated.has(entry))
		.map((self) => {
			const input = {
				self,
				live: live.filter(({entry}) => entry !== self.entry),
				listKnown: () => entries.filter(({entry}) => entry !== self.entry),
				holders,
			};
			const state = states.get(self.entry) ?? observerState;
			return [self.entry, stepCandidate(state, input, fleet.at)] as const;
		});
	for (const [entry, state] of next) {
		states.set(entry, state);
	}

	fleet.at += stepMs;
};

const settle = (fleet: Fleet): void => {
	const until = fleet.at + 2 * (maxJoinDelayMs + leaveDelayMs);
	while (fleet.at < until) {
		step(fleet);
	}
};

const listCandidates = (fleet: Fleet): readonly string[] =>
	fleet.entries
		.map(({entry}) => entry)
		.filter(
			(entry) => !fleet.holders.has(entry) && sendsHeartbeat(fleet, entry),
		);

const sizes = [
	{name: 'small fleet', count: 9, largeCount: 9, holderCount: 5},
	{name: 'unequal entries', count: 97, largeCount: 15, holderCount: 6},
	{name: 'few capable entries', count: 97, largeCount: 2, holderCount: 2},
	{name: 'large fleet', count: 378, largeCount: 378, holderCount: 6},
] as const;

for (const {name, count, largeCount, holderCount} of sizes) {
	tap.t.test(
		`the number of candidates does not depend on the fleet: ${name}`,
		(t) => {
			const fleet = createFleet(count, largeCount, holderCount);
			settle(fleet);
			const first = listCandidates(fleet);
			t.equal(first.length, candidateCount);
			const expectedLarge = Math.min(candidateCount, largeCount - holderCount);
			t.equal(
				first.filter((entry) => Number(entry.slice(1)) < largeCount).length,
				expectedLarge,
				'the most capable entries',
			);
			settle(fleet);
			t.same(listCandidates(fleet), first, 'the same entries stay candidates');
			t.end();
		},
	);
}

const failures = [
	{
		name: 'all holders and candidates',
		isTerminated: (hasHeartbeat: boolean) => hasHeartbeat,
	},
	{
		name: 'all observers',
		isTerminated: (hasHeartbeat: boolean) => !hasHeartbeat,
	},
] as const;

for (const {name, isTerminated} of failures) {
	tap.t.test(`there are candidates after the failure of ${name}`, (t) => {
		const fleet = createFleet(97, 15, 6);
		settle(fleet);
		fleet.terminated = new Set(
			fleet.entries
				.map(({entry}) => entry)
				.filter((entry) => isTerminated(sendsHeartbeat(fleet, entry))),
		);
		settle(fleet);
		t.equal(listCandidates(fleet).length, candidateCount);
		t.end();
	});
}

tap.t.test(
	'remaining entries become candidates whichever entries terminate',
	(t) => {
		const fleets = fc.record({
			count: fc.integer({min: 1, max: 60}),
			largeCount: fc.integer({min: 0, max: 60}),
			holderCount: fc.integer({min: 0, max: 8}),
			gone: fc.array(fc.nat(59)),
		});
		fc.assert(
			fc.property(fleets, ({count, largeCount, holderCount, gone}) => {
				const fleet = createFleet(count, largeCount, holderCount);
				settle(fleet);
				fleet.terminated = new Set(gone.map((index) => `e${index}`));
				settle(fleet);
				const remaining = fleet.entries.filter(
					({entry}) =>
						!fleet.terminated.has(entry) && !fleet.holders.has(entry),
				).length;
				return (
					listCandidates(fleet).length === Math.min(candidateCount, remaining)
				);
			}),
			{numRuns: 60, seed: 7},
		);
		t.end();
	},
);

tap.t.test('the entry of the highest rank becomes a candidate first', (t) => {
	const {entries} = createFleet(97, 97, 0);
	const becameCandidate = entries.map((self) => {
		const input = {
			self,
			live: [],
			listKnown: () => entries.filter(({entry}) => entry !== self.entry),
			holders: new Set<string>(),
		};
		t.ok(
			isCandidateNeeded(input),
			'every entry is needed while there are no candidates',
		);
		return stepCandidate(observerState, input, 0).isCandidate;
	});
	t.equal(
		becameCandidate.filter(Boolean).length,
		1,
		'one becomes a candidate at once',
	);
	t.end();
});
