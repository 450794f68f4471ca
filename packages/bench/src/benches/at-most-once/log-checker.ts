/** Judges what callers were told by the executor's own log. */
import type * as core from '@gullstand/core';
import type {Run} from './executor.js';

/** What one sending of a request was told; no reply if its entry died. */
export type SendResult = {
	readonly sending: number;
	readonly key: string;
	readonly body: string;
	/** When the entry gave the reply; the caller may have it later. */
	readonly decidedAt: number;
	readonly at: number;
	readonly tookMs: number;
	/** `ran`, `not-run`, `unknown`, or `none` without a reply. */
	readonly outcome: core.Outcome | 'none';
	readonly error: core.errors.ErrorKind | undefined;
	readonly answer: string | undefined;
};

/** Counts of what must not happen, and of what is worth knowing. */
export type Verdict = {
	/** Keys that ran twice within the retention. */
	readonly keysRunTwice: number;
	/** Sendings told `not-run` whose own dispatch ran. */
	readonly notRunThatRan: number;
	/** Keys that ran although each of their sendings was told `not-run`. */
	readonly notRunKeysThatRan: number;
	/** `not-run` given after the key had run. */
	readonly notRunAfterRun: number;
	/** Told `ran` without a run, or with another answer than the run's. */
	readonly wrongAnswers: number;
};

/** Verdict of no runs. */
export const emptyVerdict: Verdict = {
	keysRunTwice: 0,
	notRunThatRan: 0,
	notRunKeysThatRan: 0,
	notRunAfterRun: 0,
	wrongAnswers: 0,
};

/** Adds two verdicts. */
export const addVerdicts = (one: Verdict, two: Verdict): Verdict => ({
	keysRunTwice: one.keysRunTwice + two.keysRunTwice,
	notRunThatRan: one.notRunThatRan + two.notRunThatRan,
	notRunKeysThatRan: one.notRunKeysThatRan + two.notRunKeysThatRan,
	notRunAfterRun: one.notRunAfterRun + two.notRunAfterRun,
	wrongAnswers: one.wrongAnswers + two.wrongAnswers,
});

const count = <Item>(
	items: readonly Item[],
	isCounted: (item: Item) => boolean,
): number => items.filter((item) => isCounted(item)).length;

/** True if a reply speaks of a request that the key was not used for. */
const isOfAnother = (told: SendResult): boolean => told.error === 'key-reused';

/** True if a key ran twice before it could have expired. */
const hasRunTwice = (runs: readonly Run[], retentionMs: number): boolean =>
	runs.some((run, index) => {
		const before = runs[index - 1];
		return before !== undefined && run.at - before.at < retentionMs;
	});

/** Judges one run of a scenario. Runs stand in the log in order of time. */
export const checkLog = (
	log: readonly Run[],
	told: readonly SendResult[],
	retentionMs: number,
): Verdict => {
	const runsOf = new Map<string, Run[]>();
	for (const run of log) {
		runsOf.set(run.key, [...(runsOf.get(run.key) ?? []), run]);
	}

	const hasRunBy = ({key, decidedAt}: SendResult) =>
		runsOf.get(key)?.some((run) => run.at <= decidedAt) ?? false;
	const ranSendings = new Set(log.map(({sending}) => sending));
	const notRun = told.filter(({outcome}) => outcome === 'not-run');
	const late = notRun.filter((each) => !isOfAnother(each) && hasRunBy(each));
	const isWrong = (each: SendResult) =>
		each.outcome === 'ran' &&
		!(runsOf.get(each.key) ?? []).some(
			({answer}) => each.answer === undefined || each.answer === answer,
		);
	const wereAllNotRun = (key: string) => {
		const ofKey = told.filter((each) => each.key === key);
		return ofKey.every(({outcome}) => outcome === 'not-run');
	};

	return {
		keysRunTwice: count([...runsOf.values()], (runs) =>
			hasRunTwice(runs, retentionMs),
		),
		notRunThatRan: count(notRun, ({sending}) => ranSendings.has(sending)),
		notRunKeysThatRan: count([...runsOf.keys()], wereAllNotRun),
		notRunAfterRun: late.length,
		wrongAnswers: count(told, isWrong),
	};
};
