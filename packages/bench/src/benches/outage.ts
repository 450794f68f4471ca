/** `bench outage`: an outage of the table service for ten minutes. */
import * as platform from '@gullstand/ports';
import {check} from '../frame/check.js';
import type {Bench, BenchOptions, Check, Figures} from '../frame/types.js';
import {runDaemons, type DaemonsReport} from './outage/daemons.js';
import {
	runFleet,
	type ClientKind,
	type FleetOptions,
	type FleetReport,
} from './outage/fleet.js';
import {getMeanPerSecond, getPeakPerSecond} from './outage/load-meter.js';

const minuteMs = 60_000;

const sizes = [9, 243] as const;

const claimsPerSecond = 40;

const {readsPerSecond, writesPerSecond} = platform.client.defaultFleetRate;

const createOptions = (
	{seed, short}: BenchOptions,
	client: ClientKind,
	entries: number,
): FleetOptions => {
	const healthyMs = short ? minuteMs / 2 : 2 * minuteMs;
	const downFrom = healthyMs;
	// An unguarded run is expensive, and its load per second is constant.
	const isShortened = short && client === 'unguarded';
	const downTo = downFrom + (isShortened ? 0.25 : 10) * minuteMs;
	const until = downTo + healthyMs;
	return {seed, client, entries, claimsPerSecond, downFrom, downTo, until};
};

const getFigures = (
	{downFrom, downTo, until}: FleetOptions,
	report: FleetReport,
): Figures => {
	const {reads, writes} = report.meter;
	const round = (value: number) => Math.round(value * 10) / 10;
	return {
		outageMinutes: (downTo - downFrom) / minuteMs,
		readsPerSecondBefore: round(getMeanPerSecond(reads, 0, downFrom)),
		writesPerSecondBefore: round(getMeanPerSecond(writes, 0, downFrom)),
		readsPerSecondDown: round(getMeanPerSecond(reads, downFrom, downTo)),
		writesPerSecondDown: round(getMeanPerSecond(writes, downFrom, downTo)),
		mostReadsInSecondOnReturn: getPeakPerSecond(reads, downTo, until),
		mostWritesInSecondOnReturn: getPeakPerSecond(writes, downTo, until),
		allEntriesFollowAfterMs: Math.round(report.caughtUpMs),
		claimsRecorded: report.claims.recorded,
		claimsRefused: report.claims.refused,
		claimsUnknown: report.claims.unknown,
		changesAccepted: report.changes,
		changesRefused: report.changesRefused,
		changesLost: report.changesLost,
		revisionsGoneDown: report.regressions,
	};
};

const getDaemonFigures = (report: DaemonsReport): Figures => {
	const round = (value: number) => Math.round(value * 10) / 10;
	const {before, during, after} = report;
	return {
		answersBefore: before.answers,
		answersDown: during.answers,
		answersAfter: after.answers,
		notRanBefore: before.notRan,
		notRanDown: during.notRan,
		notRanAfter: after.notRan,
		p50BeforeMs: round(before.p50Ms),
		p50DownMs: round(during.p50Ms),
		p99BeforeMs: round(before.p99Ms),
		p99DownMs: round(during.p99Ms),
		p99AfterMs: round(after.p99Ms),
		answersListDown: report.listDown.registered.answers,
		notRanListDown: report.listDown.registered.notRan,
		answersListDownSponsored: report.listDown.sponsored.answers,
		notRanListDownSponsored: report.listDown.sponsored.notRan,
		startInOutageMs: round(report.startFromPeerMs),
		startInOutageFrom: report.origins[0] ?? 'none',
		startAloneMs: round(report.startFromSnapshotMs),
		startAloneFrom: report.origins[1] ?? 'none',
		mostCallsInSecondOnReturn: report.mostCallsInSecondOnReturn,
	};
};

const maxStartMs = 3000;

const checkDaemons = ({
	during,
	after,
	startFromPeerMs,
	startFromSnapshotMs,
	origins,
}: DaemonsReport): Check[] => [
	check('answers in the outage', during.answers, '>=', 1000),
	check('answers that did not run, in the outage', during.notRan, '==', 0),
	check('answers that did not run, on return', after.notRan, '==', 0),
	check('ms to serve, started from a peer', startFromPeerMs, '<=', maxStartMs),
	check(
		'ms to serve, started from the snapshot',
		startFromSnapshotMs,
		'<=',
		maxStartMs,
	),
	check(
		'starts from where they should',
		origins.join(' ') === 'peer snapshot' ? 1 : 0,
		'==',
		1,
	),
];

/** The outage bench. */
export const bench: Bench = {
	name: 'outage',
	summary: 'the table service down for 10 minutes, and its return',
	async run(options) {
		const runs: Record<string, Figures> = {};
		const {seed, short} = options;
		const daemons = await runDaemons({
			seed,
			healthyMs: short ? 2000 : 15_000,
			// Longer than an entry goes on without any confirmation.
			outageMs: short ? 13_000 : 90_000,
		});
		options.log('three daemons over sockets: done');
		for (const client of ['guarded', 'unguarded'] as const) {
			for (const entries of sizes) {
				const settings = createOptions(options, client, entries);
				const report = await runFleet(settings);
				runs[`${client}${entries}`] = getFigures(settings, report);
				options.log(`${client}, ${entries} entries: done`);
			}
		}

		const today = runs.guarded9!;
		const planned = runs.guarded243!;
		const most = (figures: Figures, name: string) => Number(figures[name]);
		return {
			figures: {...getDaemonFigures(daemons), ...today},
			baselines: {
				'guarded, 243 entries': planned,
				'unguarded, 9 entries': runs.unguarded9!,
				'unguarded, 243 entries': runs.unguarded243!,
			},
			checks: [
				...checkDaemons(daemons),
				...[today, planned].flatMap((figures, index) => {
					const size = `${sizes[index]!} entries`;
					return [
						check(
							`reads in a second on return, ${size}`,
							most(figures, 'mostReadsInSecondOnReturn'),
							'<=',
							readsPerSecond,
						),
						check(
							`writes in a second on return, ${size}`,
							most(figures, 'mostWritesInSecondOnReturn'),
							'<=',
							writesPerSecond,
						),
						check(
							`accepted changes lost, ${size}`,
							most(figures, 'changesLost'),
							'==',
							0,
						),
					];
				}),
			],
		};
	},
};
