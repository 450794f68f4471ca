import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as tap from 'tap';
import type {Instance} from '../types/instance.js';
import type {View} from '../types/view.js';
import {
	adoptSnapshot,
	applyDelta,
	applyDeltas,
	emptyFollowedView,
	type FollowedView,
} from './followed-view.js';
import {checkReadRevision} from './read-check.js';
import {applyChange, type ViewChange, type ViewDelta} from './view-change.js';
import {diffViews} from './view-diff.js';

const createInstance = (id: string, epoch: number, pool: string): Instance => ({
	id,
	epoch,
	pool,
	kind: 'executor',
	address: '127.0.0.1:1',
	state: 'serving',
	region: 'r',
	availabilityZone: 'a',
	rack: 'k',
});

const createDelta = (
	revision: number,
	changes: readonly ViewChange[] = [],
	chain = 'd',
): ViewDelta => ({
	revision,
	changes,
	id: `${chain}${revision}`,
	previousId: revision === 1 ? '' : `${chain}${revision - 1}`,
	author: 'ann',
	committedAt: 0,
});

const putInstance = (instance: Instance): ViewChange => ({
	kind: 'put-instance',
	instance,
});

const followTo = (revision: number): FollowedView =>
	applyDeltas(
		emptyFollowedView,
		Array.from({length: revision}, (_, index) => createDelta(index + 1)),
	).followed;

const refusals: ReadonlyArray<readonly [string, number, ViewDelta, string]> = [
	['repeated', 2, createDelta(2), 'stale'],
	['older', 3, createDelta(1), 'stale'],
	['far ahead', 1, createDelta(3), 'gap'],
	[
		'other history at the same revision',
		2,
		createDelta(2, [], 'x'),
		'diverged',
	],
	['next of another history', 2, createDelta(3, [], 'x'), 'diverged'],
];

for (const [name, at, delta, kind] of refusals) {
	tap.t.test(`refuses a delta: ${name}`, async (t) => {
		const result = applyDelta(followTo(at), delta);
		t.match(result, {ok: false, error: {kind}});
	});
}

tap.t.test('refuses an instance row that went back', async (t) => {
	const first = createDelta(1, [putInstance(createInstance('i', 3, 'p'))]);
	const {followed} = applyDeltas(emptyFollowedView, [first]);
	for (const next of [
		createInstance('i', 2, 'p'),
		createInstance('i', 3, 'q'),
	]) {
		const result = applyDelta(followed, createDelta(2, [putInstance(next)]));
		t.match(result, {ok: false, error: {kind: 'epoch-regressed'}});
	}

	const moved = createDelta(2, [putInstance(createInstance('i', 4, 'q'))]);
	t.ok(applyDelta(followed, moved).ok);
});

tap.t.test('reordered and repeated deltas give the same view', async (t) => {
	const deltas = Array.from({length: 12}, (_, index) =>
		createDelta(index + 1, [
			putInstance(createInstance(`i${index % 4}`, index + 1, 'p')),
		]),
	);
	const wanted = applyDeltas(emptyFollowedView, deltas).followed;
	t.doesNotThrow(() => {
		fc.assert(
			fc.property(
				fc.array(fc.array(fc.constantFrom(...deltas), {maxLength: 8})),
				(batches) => {
					let followed = emptyFollowedView;
					for (const batch of batches) {
						const next = applyDeltas(followed, batch).followed;
						assert.ok(next.view.revision >= followed.view.revision);
						followed = next;
					}

					assert.deepEqual(applyDeltas(followed, deltas).followed, wanted);
				},
			),
			{seed: 4, numRuns: 100},
		);
	});
});

tap.t.test('adopts only a newer snapshot', async (t) => {
	const [two, three] = [followTo(2), followTo(3)];
	t.same(adoptSnapshot(two, three), {ok: true, value: three});
	t.match(adoptSnapshot(three, two), {error: {kind: 'stale'}});
	t.match(adoptSnapshot(three, {...three, deltaId: 'x'}), {
		error: {kind: 'diverged'},
	});
});

const reads: ReadonlyArray<readonly [number, number, number, object]> = [
	[5, 5, 5, {kind: 'unchanged'}],
	[5, 5, 8, {kind: 'newer', from: 6, to: 8}],
	[5, 5, 4, {kind: 'regressed', lost: 1}],
	// A peer has shown 9: a store that answers 7 is behind it.
	[5, 9, 7, {kind: 'regressed', lost: 2}],
	[5, 9, 9, {kind: 'newer', from: 6, to: 9}],
];

for (const [applied, highest, read, verdict] of reads) {
	tap.t.test(`read ${read} after ${applied}, ${highest}`, async (t) => {
		t.same(checkReadRevision(applied, highest, read), verdict);
	});
}

const instances = fc.array(
	fc.record({
		id: fc.constantFrom('a', 'b', 'c'),
		pool: fc.constantFrom('p', 'q'),
		epoch: fc.nat(3),
	}),
);

tap.t.test('a diff leads from one view to the other', async (t) => {
	t.doesNotThrow(() => {
		fc.assert(
			fc.property(instances, instances, (one, two) => {
				const [before, after] = [one, two].map((list) => ({
					...emptyFollowedView.view,
					instances: new Map(
						list.map((each) => [
							each.id,
							createInstance(each.id, each.epoch + 1, each.pool),
						]),
					),
				}));
				let changed: View = before!;
				for (const change of diffViews(before!, after!)) {
					changed = applyChange(changed, change);
				}

				assert.deepEqual(changed.instances, after!.instances);
				assert.deepEqual(diffViews(after!, after!), []);
			}),
			{seed: 4, numRuns: 200},
		);
	});
});
