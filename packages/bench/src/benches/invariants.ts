/** `bench invariants`: checks the invariants by records made outside. */
import {check} from '../frame/check.js';
import type {Bench, Figures} from '../frame/types.js';
import {inForceBoundMs} from '../checkers/change-checkers.js';
import {checkedProperties} from '../checkers/checkers.js';
import type {Records, Verdict} from '../checkers/records.js';
import {runCallers, type Load} from './invariants/callers.js';
import {startEntry} from './invariants/entries.js';
import {
	faultPairs,
	runFaultPair,
	type FaultPair,
} from './invariants/fault-pairs.js';
import {
	closeTestEnvironment,
	createTestEnvironment,
} from './invariants/test-environment.js';

const entries = 3;

const shortMs = 22_000;

const longMs = 60_000;

/** Maximum number of violations logged for one property and pair. */
const maxShown = 5;

const runPair = async (
	pair: FaultPair,
	seed: number,
	lengthMs: number,
): Promise<Records> => {
	const environment = await createTestEnvironment(seed);
	for (let slot = 0; slot < entries; slot += 1) {
		await startEntry(environment, slot, `e${slot + 1}`);
	}

	const load: Load = {isStopped: false};
	const callers = runCallers(environment, load);
	await runFaultPair(pair, environment, load, lengthMs);
	await callers;
	await closeTestEnvironment(environment);
	const {acceptances} = environment.recorder;
	// After a lost reply, an older change may be accepted after a newer one.
	return {
		...environment.recorder,
		acceptances: acceptances.toSorted((a, b) => a.change - b.change),
	};
};

type Row = {
	readonly property: string;
	readonly reads: string;
	/** One verdict per fault pair, in their order. */
	readonly verdicts: readonly Verdict[];
};

const checkAll = (all: readonly Records[]): readonly Row[] =>
	checkedProperties.map(({property, checkRecords, reads}) => ({
		property,
		reads,
		verdicts: all.map((records) => checkRecords(records)),
	}));

const sum = (numbers: readonly number[]): number =>
	numbers.reduce((total, each) => total + each, 0);

const countChecked = ({verdicts}: Row): number =>
	sum(verdicts.map(({checked}) => checked));

const countViolations = ({verdicts}: Row): number =>
	sum(verdicts.map(({violations}) => violations.length));

const describe = (row: Row): string =>
	`${countChecked(row)} checked, ${countViolations(row)} violations, by ${row.reads}`;

const describePair = ({checked, violations}: Verdict): string =>
	`${checked} checked, ${violations.length} violations`;

const logViolations = (rows: readonly Row[], log: (line: string) => void) => {
	for (const {property, verdicts} of rows) {
		for (const [index, {violations}] of verdicts.entries()) {
			for (const violation of violations.slice(0, maxShown)) {
				log(`${property}: ${faultPairs[index]!.name}: ${violation}`);
			}
		}
	}
};

const count = (
	all: readonly Records[],
	getItems: (records: Records) => readonly unknown[],
): number => sum(all.map((records) => getItems(records).length));

/** Probes at which an accepted change was due. */
const listDueProbes = ({probes, acceptances}: Records) =>
	probes.filter((probe) =>
		acceptances.some(({at}) => at + inForceBoundMs <= probe.at),
	);

/** Committed rows that change the pool of an instance. */
const listPoolChanges = ({store}: Records) => {
	const pools = new Map<string, string>();
	return store.filter((record) => {
		if (record.kind !== 'instance') {
			return false;
		}

		const {id, pool} = record.value;
		const isMoved = (pools.get(id) ?? pool) !== pool;
		pools.set(id, pool);
		return isMoved;
	});
};

/** Answers to repeats of a key, after the first answer. */
const listRepeats = ({answers}: Records) =>
	answers.filter(({requestId}) =>
		/^claim-.*-(?:[1-9]|.*-twin)$/v.test(requestId),
	);

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
	poolChanges: count(all, listPoolChanges),
	reboots: count(all, ({reboots}) => reboots),
	losses: count(all, ({losses}) => losses.filter(({isLost}) => isLost)),
	probes: count(all, ({probes}) => probes),
	dueProbes: count(all, listDueProbes),
	answersToRepeats: count(all, listRepeats),
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
		const rows = checkAll(all);
		logViolations(rows, log);
		return {
			figures: {
				...getFigures(all),
				...Object.fromEntries(rows.map((row) => [row.property, describe(row)])),
			},
			baselines: Object.fromEntries(
				faultPairs.map(({name}, index) => [
					name,
					Object.fromEntries(
						rows.map(({property, verdicts}) => [
							property,
							describePair(verdicts[index]!),
						]),
					),
				]),
			),
			checks: rows.flatMap((row) => [
				check(`${row.property}: checked`, countChecked(row), '>=', 1),
				check(`${row.property}: violations`, countViolations(row), '==', 0),
			]),
		};
	},
};
