/** Checks the answers of callers against the executor's log. */
import type * as core from '@gullstand/core';
import type {Run} from './executor.js';

/** Result of one sending of a request; no reply if its entry died. */
export type SendResult = {
	readonly sending: number;
	readonly key: string;
	readonly body: string;
	/** When the entry replied; the caller may receive it later. */
	readonly decidedAt: number;
	readonly at: number;
	readonly tookMs: number;
	/** `ran`, `not-run`, `unknown`, or `none` without a reply. */
	readonly outcome: core.Outcome | 'none';
	readonly error: core.errors.ErrorKind | undefined;
	readonly answer: string | undefined;
};

/** Violations by rule. */
export type Verdict = {
	/** Keys that ran twice within the retention time. */
	readonly keysRunTwice: number;
	/** Sendings answered `not-run` whose own dispatch ran. */
	readonly notRunThatRan: number;
	/** Keys that ran although all their sendings were answered `not-run`. */
	readonly notRunKeysThatRan: number;
	/** `not-run` answers after the key had run. */
	readonly notRunAfterRun: number;
	/** `ran` answers without a run or with a body that no run produced. */
	readonly wrongAnswers: number;
};

export const emptyVerdict: Verdict = {
	keysRunTwice: 0,
	notRunThatRan: 0,
	notRunKeysThatRan: 0,
	notRunAfterRun: 0,
	wrongAnswers: 0,
};

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

/** True if the reply rejects a request that differs from the first one. */
const isKeyReused = (result: SendResult): boolean =>
	result.error === 'key-reused';

/** True if a key ran again before it could have expired. */
const hasRunTwice = (runs: readonly Run[], retentionMs: number): boolean =>
	runs.some((run, index) => {
		const previous = runs[index - 1];
		return previous !== undefined && run.at - previous.at < retentionMs;
	});

/** Checks one run of a scenario; the log is in order of time. */
export const checkLog = (
	log: readonly Run[],
	results: readonly SendResult[],
	retentionMs: number,
): Verdict => {
	const runsOf = new Map<string, Run[]>();
	for (const run of log) {
		runsOf.set(run.key, [...(runsOf.get(run.key) ?? []), run]);
	}

	const hasRunBy = ({key, decidedAt}: SendResult) =>
		runsOf.get(key)?.some((run) => run.at <= decidedAt) ?? false;
	const ranSendings = new Set(log.map(({sending}) => sending));
	const notRun = results.filter(({outcome}) => outcome === 'not-run');
	const late = notRun.filter((each) => !isKeyReused(each) && hasRunBy(each));
	const isWrong = (each: SendResult) =>
		each.outcome === 'ran' &&
		!(runsOf.get(each.key) ?? []).some(
			({answer}) => each.answer === undefined || each.answer === answer,
		);
	const wereAllNotRun = (key: string) => {
		const ofKey = results.filter((each) => each.key === key);
		return ofKey.every(({outcome}) => outcome === 'not-run');
	};

	return {
		keysRunTwice: count([...runsOf.values()], (runs) =>
			hasRunTwice(runs, retentionMs),
		),
		notRunThatRan: count(notRun, ({sending}) => ranSendings.has(sending)),
		notRunKeysThatRan: count([...runsOf.keys()], wereAllNotRun),
		notRunAfterRun: late.length,
		wrongAnswers: count(results, isWrong),
	};
};
