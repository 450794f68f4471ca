/** A few entries are candidates, however many there are and whichever go. */
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
	gone: ReadonlySet<string>;
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
		gone: new Set(),
		at: 0,
	};
};

const isBeating = ({states, holders, gone}: Fleet, entry: string): boolean =>
	!gone.has(entry) &&
	(holders.has(entry) || states.get(entry)?.isCandidate === true);

/** All look at the heartbeats of the step before. */
const step = (fleet: Fleet): void => {
	const {entries, states, holders, gone} = fleet;
	const live = entries.filter(({entry}) => isBeating(fleet, entry));
	const next = entries
		.filter(({entry}) => !gone.has(entry))
		.map((self) => {
			const view = {
				self,
				live: live.filter(({entry}) => entry !== self.entry),
				listKnown: () => entries.filter(({entry}) => entry !== self.entry),
				holders,
			};
			const state = states.get(self.entry) ?? observerState;
			return [self.entry, stepCandidate(state, view, fleet.at)] as const;
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
		.filter((entry) => !fleet.holders.has(entry) && isBeating(fleet, entry));

const sizes = [
	{name: 'today', count: 9, largeCount: 9, holderCount: 5},
	{name: 'unequal entries', count: 97, largeCount: 15, holderCount: 6},
	{name: 'few capable ones', count: 97, largeCount: 2, holderCount: 2},
	{name: 'hundreds', count: 378, largeCount: 378, holderCount: 6},
] as const;

for (const {name, count, largeCount, holderCount} of sizes) {
	tap.t.test(`as many candidates in a fleet of any size: ${name}`, (t) => {
		const fleet = createFleet(count, largeCount, holderCount);
		settle(fleet);
		const first = listCandidates(fleet);
		t.equal(first.length, candidateCount);
		const largeLeft = Math.min(candidateCount, largeCount - holderCount);
		t.equal(
			first.filter((entry) => Number(entry.slice(1)) < largeCount).length,
			largeLeft,
			'the most capable ones',
		);
		settle(fleet);
		t.same(listCandidates(fleet), first, 'and the same ones');
		t.end();
	});
}

const losses = [
	{name: 'all holders and candidates', isGone: (isBeater: boolean) => isBeater},
	{name: 'all observers', isGone: (isBeater: boolean) => !isBeater},
] as const;

for (const {name, isGone} of losses) {
	tap.t.test(`there are candidates after the loss of ${name}`, (t) => {
		const fleet = createFleet(97, 15, 6);
		settle(fleet);
		fleet.gone = new Set(
			fleet.entries
				.map(({entry}) => entry)
				.filter((entry) => isGone(isBeating(fleet, entry))),
		);
		settle(fleet);
		t.equal(listCandidates(fleet).length, candidateCount);
		t.end();
	});
}

tap.t.test('whoever is gone, some of the others are candidates', (t) => {
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
			fleet.gone = new Set(gone.map((index) => `e${index}`));
			settle(fleet);
			const left = fleet.entries.filter(
				({entry}) => !fleet.gone.has(entry) && !fleet.holders.has(entry),
			).length;
			return listCandidates(fleet).length === Math.min(candidateCount, left);
		}),
		{numRuns: 60, seed: 7},
	);
	t.end();
});

tap.t.test('those first in rank join first', (t) => {
	const {entries} = createFleet(97, 97, 0);
	const rank = entries.map((self) => {
		const view = {
			self,
			live: [],
			listKnown: () => entries.filter(({entry}) => entry !== self.entry),
			holders: new Set<string>(),
		};
		t.ok(isCandidateNeeded(view), 'without any, each is needed');
		return stepCandidate(observerState, view, 0).isCandidate;
	});
	t.equal(rank.filter(Boolean).length, 1, 'one joins at once');
	t.end();
});
