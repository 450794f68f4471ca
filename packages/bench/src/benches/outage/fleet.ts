/**
 * Store clients of a whole fleet on a simulated clock. Entries poll the view,
 * renew their rows, record claims and commit changes through the guard and the
 * read-back of the daemon.
 */
import * as core from '@gullstand/core';
import * as daemon from '@gullstand/daemon';
import * as platform from '@gullstand/ports';
import {
	createRandom,
	drawExponential,
	type Random,
} from '../../frame/random.js';
import {createClock, type Clock} from '../agreement/clock.js';
import {createLoadMeter, type LoadMeter} from './load-meter.js';

/** Kind of the store clients of the entries. */
export type ClientKind = 'guarded' | 'unguarded';

/** Options of one run; times in milliseconds. */
export type FleetOptions = {
	readonly seed: number;
	readonly client: ClientKind;
	readonly entries: number;
	/** Rate of the whole fleet. */
	readonly claimsPerSecond: number;
	readonly downFrom: number;
	readonly downTo: number;
	readonly until: number;
};

/** Result of one run. */
export type FleetReport = {
	readonly meter: LoadMeter;
	readonly claims: Readonly<Record<ClaimOutcome, number>>;
	readonly changes: number;
	readonly changesRefused: number;
	/** Accepted changes that are missing from the log at the end. */
	readonly changesLost: number;
	/** Number of times that an entry's revision decreased. */
	readonly regressions: number;
	/** Time from the store's return until every entry has polled. */
	readonly caughtUpMs: number;
};

/** Outcome of a claim; a refused one is known not to be recorded. */
export type ClaimOutcome = 'recorded' | 'refused' | 'unknown';

const pollMs = 500;

const heartbeatMs = 2000;

const shareMs = 10_000;

const storeCallMs = 3;

const timeoutMs = 2000;

const claimDeadlineMs = 1000;

const unguardedRetryMs = 100;

const changeEveryMs = 28_800;

type Fleet = {
	readonly options: FleetOptions;
	readonly clock: Clock;
	readonly random: Random;
	readonly meter: LoadMeter;
	readonly claims: Record<ClaimOutcome, number>;
	readonly accepted: string[];
	changesRefused: number;
	regressions: number;
	readonly caughtUp: Map<number, number>;
};

type Entry = {
	readonly index: number;
	readonly env: platform.client.Environment;
	readonly tables: platform.TableService;
	readonly follower: daemon.ViewFollower;
	claims: number;
};

const createEntry = (fleet: Fleet, index: number): Entry => {
	const {clock, options} = fleet;
	const random = createRandom(options.seed * 1000 + index);
	const env = {now: clock.now, wait: clock.sleep, random};
	const {readsPerSecond, writesPerSecond} = platform.client.defaultFleetRate;
	const guard = platform.client.createGuard(
		{
			...platform.client.defaultGuardConfig,
			share: {
				readsPerSecond: readsPerSecond / options.entries,
				writesPerSecond: writesPerSecond / options.entries,
			},
		},
		env,
	);
	const tables =
		options.client === 'guarded'
			? platform.client.createGuardedTableService(fleet.meter.tables, guard)
			: fleet.meter.tables;
	const follower = daemon.createViewFollower(tables, pollMs, {env});
	if (options.client === 'guarded') {
		void shareForever(fleet, {guard, tables, id: `e${index}`, env});
	}

	return {index, env, tables, follower, claims: 0};
};

const shareForever = async (
	{options}: Fleet,
	client: Pick<
		platform.client.RateSharerOptions,
		'tables' | 'guard' | 'id' | 'env'
	>,
) => {
	const {env} = client;
	const sharer = platform.client.createRateSharer({
		...client,
		fleetRate: platform.client.defaultFleetRate,
		expireAfterMs: 3 * shareMs,
	});
	sharer.setListedEntryCount(options.entries);
	for (;;) {
		await env.wait(daemon.getJitteredMs(shareMs, env.random()));
		await sharer.exchange();
	}
};

/** Waits for the next run of a periodic task; unguarded ones retry soon. */
const waitForNext = async (
	{options}: Fleet,
	{env}: Entry,
	periodMs: number,
	hasFailed: boolean,
) =>
	env.wait(
		hasFailed && options.client === 'unguarded'
			? unguardedRetryMs
			: daemon.getJitteredMs(periodMs, env.random()),
	);

const pollForever = async (fleet: Fleet, entry: Entry) => {
	let revision = 0;
	for (;;) {
		await entry.follower.poll();
		const hasFailed = entry.follower.getCondition().kind !== 'following';
		const next = entry.follower.getView().revision;
		fleet.regressions += next < revision ? 1 : 0;
		revision = next;
		const now = fleet.clock.now();
		const isFollowing = now >= fleet.options.downTo && !hasFailed;
		if (isFollowing && !fleet.caughtUp.has(entry.index)) {
			fleet.caughtUp.set(entry.index, now);
		}

		await waitForNext(fleet, entry, pollMs, hasFailed);
	}
};

const renewForever = async (fleet: Fleet, entry: Entry) => {
	for (;;) {
		const result = await entry.tables.commit(
			[
				{
					kind: 'put',
					table: core.agreementTables.entry,
					key: `e${entry.index}`,
					value: {},
					when: {kind: 'any'},
				},
			],
			'heartbeat',
		);
		await waitForNext(fleet, entry, heartbeatMs, !result.ok);
	}
};

const claimOutcomes: Readonly<
	Record<platform.client.CommitOutcome['kind'], ClaimOutcome>
> = {
	committed: 'recorded',
	conflict: 'unknown',
	'not-committed': 'refused',
	unknown: 'unknown',
};

const recordClaim = async (fleet: Fleet, entry: Entry) => {
	entry.claims += 1;
	const id = `e${entry.index}-${entry.claims}`;
	const witness = {table: 'claim', key: id};
	const outcome = await platform.client.commitWithReadBack(
		entry.tables,
		{
			id,
			witness,
			writes: [{kind: 'put', ...witness, value: 1, when: {kind: 'absent'}}],
		},
		{env: entry.env, deadline: fleet.clock.now() + claimDeadlineMs},
	);
	fleet.claims[claimOutcomes[outcome.kind]] += 1;
};

const claimForever = async (fleet: Fleet, entry: Entry) => {
	const {claimsPerSecond, entries} = fleet.options;
	for (;;) {
		const meanMs = (1000 * entries) / claimsPerSecond;
		await entry.env.wait(drawExponential(entry.env.random, meanMs));
		void recordClaim(fleet, entry);
	}
};

const changeForever = async (fleet: Fleet, entries: readonly Entry[]) => {
	for (let number = 1; ; number += 1) {
		await fleet.clock.sleep(drawExponential(fleet.random, changeEveryMs));
		const entry = entries[Math.floor(fleet.random() * entries.length)]!;
		const key = `s${number % 40}`;
		const id = `change-${number}`;
		const known = entry.follower.getFollowed();
		const value = daemon.toJson({name: key, pool: id});
		const result = await daemon.commitChange(
			entry.tables,
			[{table: 'service', key, value, when: {kind: 'any'}}],
			id,
			{known, env: entry.env},
		);
		if (result.ok) {
			fleet.accepted.push(id);
		} else {
			fleet.changesRefused += 1;
		}
	}
};

/** Counts the accepted changes that are missing from the log. */
const countLost = async (fleet: Fleet, inner: platform.TableService) => {
	const logged = new Set<string>();
	let after = 0;
	for (;;) {
		const read = await daemon.readChanges(inner, after);
		const deltas = read.ok ? read.value : [];
		for (const {id, revision} of deltas) {
			logged.add(id);
			after = revision;
		}

		if (deltas.length === 0) {
			return fleet.accepted.filter((id) => !logged.has(id)).length;
		}
	}
};

/** Runs a fleet through one outage. */
export const runFleet = async (options: FleetOptions): Promise<FleetReport> => {
	const clock = createClock();
	const random = createRandom(options.seed);
	const faults = platform.faults.createFaultControl({
		random,
		wait: clock.sleep,
		timeoutMs,
	});
	faults.set({delayMs: storeCallMs});
	const inner = platform.createMemoryTableService();
	const wrapped = platform.faults.wrapTableService(inner, faults);
	const fleet: Fleet = {
		options,
		clock,
		random,
		meter: createLoadMeter(wrapped, clock.now),
		claims: {recorded: 0, refused: 0, unknown: 0},
		accepted: [],
		changesRefused: 0,
		regressions: 0,
		caughtUp: new Map(),
	};
	const entries = Array.from({length: options.entries}, (_, index) =>
		createEntry(fleet, index),
	);
	for (const entry of entries) {
		void pollForever(fleet, entry);
		void renewForever(fleet, entry);
		void claimForever(fleet, entry);
	}

	void changeForever(fleet, entries);
	await clock.run(options.downFrom);
	faults.set({isDown: true});
	await clock.run(options.downTo);
	faults.set({isDown: false});
	await clock.run(options.until);
	const all = [...fleet.caughtUp.values()];
	const isCaughtUp = all.length === options.entries;
	return {
		meter: fleet.meter,
		claims: fleet.claims,
		changes: fleet.accepted.length,
		changesRefused: fleet.changesRefused,
		changesLost: await countLost(fleet, inner),
		regressions: fleet.regressions,
		caughtUpMs: isCaughtUp ? Math.max(...all) - options.downTo : Number.NaN,
	};
};
