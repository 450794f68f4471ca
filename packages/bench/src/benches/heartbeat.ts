/**
 * `bench heartbeat`: one heartbeat per daemon against one for each pool and
 * shard. Messages are heartbeat writes and the reads that monitor them.
 */
import * as core from '@gullstand/core';
import {check} from '../frame/check.js';
import {createRandom, drawBelow, type Random} from '../frame/random.js';
import type {Bench, Figures} from '../frame/types.js';
import {getHeartbeatBytes} from './agreement/heartbeat-bytes.js';
import {getQuantile} from './agreement/quantile.js';

type Scheme =
	/** One row per daemon, read by the monitoring peers; as in the daemon. */
	| 'shared'
	/** One row per daemon, read by every daemon. */
	| 'shared-by-all'
	/** One row per pool of a daemon and one per shard. */
	| 'each';

type Fleet = {
	readonly daemons: number;
	readonly pools: number;
	readonly scheme: Scheme;
};

const maxGapPeriods = 5;

/** The current and the planned size. */
const sizes = [
	{daemons: 9, pools: 5},
	{daemons: 243, pools: 40},
] as const;

/** Lists the keys of the heartbeat rows. */
const listRows = ({daemons, pools, scheme}: Fleet): readonly string[] => {
	const names = Array.from({length: daemons}, (_, index) => `e${index}`);
	if (scheme !== 'each') {
		return names;
	}

	const groups = Array.from({length: pools}, (_, index) => `p${index}`);
	const shards = groups.map(
		(group, index) => `${names[index % daemons]}/shard-${group}`,
	);
	return [
		...names.flatMap((name) => groups.map((group) => `${name}/${group}`)),
		...shards,
	];
};

type HeartbeatRow = {
	readonly key: string;
	readonly owner: string;
	phase: number;
};

const createRows = (
	fleet: Fleet,
	heartbeatMs: number,
	random: Random,
): readonly HeartbeatRow[] =>
	listRows(fleet).map((key) => ({
		key,
		owner: key.split('/')[0]!,
		phase: random() * heartbeatMs,
	}));

type Crash = {
	readonly rows: readonly HeartbeatRow[];
	readonly at: number;
	/** Time of the first read by the monitoring daemon. */
	readonly firstReadAt: number;
};

/** Measures the time from a crash until all rows of the daemon expire. */
const measureDetection = (
	{rows, at: crashAt, firstReadAt}: Crash,
	{heartbeatMs, watchMs, leaseMs}: core.periods.AgreementPeriods,
): number => {
	const left = new Set(rows);
	let observations = core.observation.emptyObservations;
	for (let at = firstReadAt; ; at += watchMs) {
		const versions = new Map(
			[...left].map(({key, phase}) => [
				key,
				Math.floor((Math.min(at, crashAt) + phase) / heartbeatMs),
			]),
		);
		const maxGapMs = maxGapPeriods * watchMs;
		observations = core.observation.observeVersions(
			observations,
			versions,
			maxGapMs,
			at,
		);
		for (const row of left) {
			const version = versions.get(row.key)!;
			if (
				core.observation.getUnchangedMs(observations, row.key, version) >=
				leaseMs
			) {
				left.delete(row);
			}
		}

		if (left.size === 0) {
			return at - crashAt;
		}
	}
};

/** Returns the rows that one daemon reads per period, and the calls. */
const getWatch = ({scheme, daemons}: Fleet, rows: number) => {
	const rowsInOneRead = 500;
	const watched =
		scheme === 'shared'
			? Math.min(core.monitoredPeers.monitoredPeerCount, daemons - 1)
			: rows;
	const calls =
		scheme === 'shared' ? watched : Math.ceil(watched / rowsInOneRead);
	return {watched, calls};
};

const measure = (fleet: Fleet, seed: number, crashes: number) => {
	const random = createRandom(seed);
	const periods = core.periods.getPeriods(fleet.daemons);
	const {heartbeatMs, watchMs} = periods;
	const rows = createRows(fleet, heartbeatMs, random);
	const detections = Array.from({length: crashes}, () => {
		const failed = `e${drawBelow(random, fleet.daemons)}`;
		return measureDetection(
			{
				rows: rows.filter(({owner}) => owner === failed),
				at: (5 + 5 * random()) * heartbeatMs,
				firstReadAt: random() * watchMs,
			},
			periods,
		);
	});
	const writes = rows.length / (heartbeatMs / 1000);
	const {watched, calls} = getWatch(fleet, rows.length);
	const reads = (fleet.daemons * calls) / (watchMs / 1000);
	// A row for one pool of a daemon has no quorum.
	const isEach = fleet.scheme === 'each';
	const rowBytes = getHeartbeatBytes(isEach ? 0 : fleet.daemons);
	const bytes =
		(watched * rowBytes) / (watchMs / 1000) +
		(writes * rowBytes) / fleet.daemons;
	return {
		heartbeatRows: rows.length,
		writesPerSecond: Math.round(writes * 10) / 10,
		readsPerSecond: Math.round(reads * 10) / 10,
		messagesPerSecond: Math.round((writes + reads) * 10) / 10,
		bytesPerSecondOfOneDaemon: Math.round(bytes),
		detectionP50Ms: Math.round(getQuantile(detections, 0.5)),
		detectionP99Ms: Math.round(getQuantile(detections, 0.99)),
	};
};

const prefixFigures = (prefix: string, figures: Figures): Figures =>
	Object.fromEntries(
		Object.entries(figures).map(([name, value]) => [`${prefix}${name}`, value]),
	);

const measureAll = (scheme: Scheme, seed: number, crashes: number): Figures =>
	Object.assign(
		{},
		...sizes.map((size) =>
			prefixFigures(
				`at${size.daemons}_`,
				measure({...size, scheme}, seed, crashes),
			),
		),
	) as Figures;

const maxBytesPerSecond = 8192;

/** Maximum rate of heartbeat writes that the platform allows. */
const maxWritesPerSecond = 300;

/** The heartbeat bench. */
export const bench: Bench = {
	name: 'heartbeat',
	summary: 'one heartbeat a daemon against one for each pool and shard',
	async run({seed, short}) {
		const crashes = short ? 500 : 5000;
		const shared = measureAll('shared', seed, crashes);
		const each = measureAll('each', seed, crashes);
		const byAll = measureAll('shared-by-all', seed, crashes);
		const getNumber = (figures: Figures, name: string) => Number(figures[name]);
		return {
			figures: shared,
			baselines: {each, sharedWatchedByAll: byAll},
			checks: [
				check(
					'writes a second at 243 daemons',
					getNumber(shared, 'at243_writesPerSecond'),
					'<=',
					maxWritesPerSecond,
				),
				check(
					'bytes a second of a daemon at 243 daemons',
					getNumber(shared, 'at243_bytesPerSecondOfOneDaemon'),
					'<=',
					maxBytesPerSecond,
				),
				check(
					'detection p99, shared less one for each, ms',
					getNumber(shared, 'at243_detectionP99Ms') -
						getNumber(each, 'at243_detectionP99Ms'),
					'<=',
					0,
				),
			],
		};
	},
};
