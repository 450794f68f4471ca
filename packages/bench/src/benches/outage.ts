/** An outage of the table service for ten minutes: issue 4, item 3. */
import * as platform from '@gullstand/platform';
import {check} from '../frame/check.js';
import type {Bench, BenchOptions, Figures} from '../frame/types.js';
import {
	runFleet,
	type ClientKind,
	type FleetOptions,
	type FleetReport,
} from './outage/fleet.js';
import {getMeanPerSecond, getMostInSecond} from './outage/load-meter.js';

const minuteMs = 60_000;

const returnMs = minuteMs;

const sizes = [9, 243] as const;

const claimsPerSecond = 40;

const {readsPerSecond, writesPerSecond} = platform.client.defaultFleetRate;

const createOptions = (
	{seed, short}: BenchOptions,
	client: ClientKind,
	entries: number,
): FleetOptions => {
	const downFrom = minuteMs;
	// Without a guard a run costs much; its load a second is steady.
	const isCut = short && client === 'unguarded';
	const downTo = downFrom + (isCut ? 1 : 10) * minuteMs;
	const until = downTo + (short ? 1 : 2) * returnMs;
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
		mostReadsInSecondOnReturn: getMostInSecond(reads, downTo, until),
		mostWritesInSecondOnReturn: getMostInSecond(writes, downTo, until),
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

/** The outage bench. */
export const bench: Bench = {
	name: 'outage',
	summary: 'the table service down for 10 minutes, and its return',
	async run(options) {
		const runs: Record<string, Figures> = {};
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
			figures: {...today},
			baselines: {
				'guarded, 243 entries': planned,
				'unguarded, 9 entries': runs.unguarded9!,
				'unguarded, 243 entries': runs.unguarded243!,
			},
			checks: [today, planned].flatMap((figures, index) => {
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
		};
	},
};
