/** Judges of requests: executors' logs against what callers were told. */
import type {Checker} from './records.js';

const countBy = <Item>(
	items: readonly Item[],
	getKey: (item: Item) => string | undefined,
): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const item of items) {
		const key = getKey(item);
		if (key !== undefined) {
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}
	}

	return counts;
};

/** A caller receives the whole answer to its own request. */
export const checkWholeAnswers: Checker = ({answers}) => {
	const received = answers.filter((each) => each.isExecutorAnswer);
	return {
		checked: received.length,
		violations: received
			.filter((each) => each.body !== each.expectedBody)
			.map((each) => `${each.requestId}: another or a cut answer`),
	};
};

/** A request that its caller was told did not run, truly did not run. */
export const checkNotRun: Checker = ({answers, runs}) => {
	const ran = new Set(runs.map((each) => each.requestId));
	const told = answers.filter((each) => each.outcome === 'not-run');
	return {
		checked: told.length,
		violations: told
			.filter((each) => ran.has(each.requestId))
			.map((each) => `${each.requestId}: told not-run, but it ran`),
	};
};

/** What may not be repeated runs at most once. */
export const checkAtMostOnce: Checker = ({runs}) => {
	const counts = [...countBy(runs, (each) => each.key)];
	return {
		checked: counts.length,
		violations: counts
			.filter(([, count]) => count > 1)
			.map(([key, count]) => `${key}: ran ${count} times`),
	};
};
