/** What must always hold, judged by outside records: issue 6, "Judges". */
import {check} from '../frame/check.js';
import type {Bench, Figures} from '../frame/types.js';
import {judgedProperties} from '../judges/judges.js';
import type {Records, Verdict} from '../judges/records.js';
import {runCallers, type Load} from './invariants/callers.js';
import {
	faultPairs,
	runFaultPair,
	type FaultPair,
} from './invariants/fault-pairs.js';
import {closeWorld, createWorld, startEntry} from './invariants/world.js';

const entries = 3;

const shortMs = 22_000;

const longMs = 60_000;

/** Violations that are printed of one property and pair. */
const maxShown = 5;

const runPair = async (
	pair: FaultPair,
	seed: number,
	lengthMs: number,
): Promise<Records> => {
	const world = await createWorld(seed);
	for (let slot = 0; slot < entries; slot += 1) {
		await startEntry(world, slot, `e${slot + 1}`);
	}

	const load: Load = {isStopped: false};
	const callers = runCallers(world, load);
	await runFaultPair(pair, world, load, lengthMs);
	await callers;
	await closeWorld(world);
	const {acceptances} = world.recorder;
	// A lost reply can make an older change's answer come after a newer one's.
	return {
		...world.recorder,
		acceptances: acceptances.toSorted((a, b) => a.change - b.change),
	};
};

type Row = Verdict & {readonly property: string; readonly reads: string};

const judgeAll = (all: readonly Records[]): readonly Row[] =>
	judgedProperties.map(({property, judge, reads}) => {
		const verdicts = all.map((records) => judge(records));
		return {
			property,
			reads,
			checked: verdicts.reduce((sum, each) => sum + each.checked, 0),
			violations: verdicts.flatMap(({violations}, index) =>
				violations.map((each) => `${faultPairs[index]!.name}: ${each}`),
			),
		};
	});

const count = (
	all: readonly Records[],
	getItems: (records: Records) => readonly unknown[],
): number => all.reduce((sum, records) => sum + getItems(records).length, 0);

const getFigures = (all: readonly Records[]): Figures => ({
	pairs: all.length,
	entriesEach: entries,
	runs: count(all, ({runs}) => runs),
	keyedRuns: count(all, ({runs}) => runs.filter(({key}) => key !== undefined)),
	answers: count(all, ({answers}) => answers),
	answersNotRun: count(all, ({answers}) =>
		answers.filter(({outcome}) => outcome === 'not-run'),
	),
	answersUnknown: count(all, ({answers}) =>
		answers.filter(({outcome}) => outcome === 'unknown'),
	),
	committedRows: count(all, ({store}) => store),
	reboots: count(all, ({reboots}) => reboots),
	losses: count(all, ({losses}) => losses.filter(({isLost}) => isLost)),
	probes: count(all, ({probes}) => probes),
	acceptedChanges: count(all, ({acceptances}) => acceptances),
});

/** The invariants bench. */
export const bench: Bench = {
	name: 'invariants',
	summary: 'real entries under pairs of faults, held against outside records',
	async run({seed, short, log}) {
		const lengthMs = short ? shortMs : longMs;
		const all = await Promise.all(
			faultPairs.map(async (pair, index) => {
				const records = await runPair(pair, seed + 100 * index, lengthMs);
				log(`${pair.name}: done`);
				return records;
			}),
		);
		const rows = judgeAll(all);
		for (const {property, violations} of rows) {
			for (const violation of violations.slice(0, maxShown)) {
				log(`${property}: ${violation}`);
			}
		}

		return {
			figures: getFigures(all),
			baselines: Object.fromEntries(
				rows.map(({property, reads, checked, violations}) => [
					property,
					{judgedBy: reads, checked, violations: violations.length},
				]),
			),
			checks: rows.flatMap(({property, checked, violations}) => [
				check(`${property}: checked`, checked, '>=', 1),
				check(`${property}: violations`, violations.length, '==', 0),
			]),
		};
	},
};
