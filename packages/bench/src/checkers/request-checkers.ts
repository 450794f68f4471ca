/** Checks requests: executors' logs against the answers of callers. */
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

/** Checks that a caller receives the complete answer to its own request. */
export const checkWholeAnswers: Checker = ({answers}) => {
	const received = answers.filter((each) => each.isExecutorAnswer);
	return {
		checked: received.length,
		violations: received
			.filter((each) => each.body !== each.expectedBody)
			.map((each) => `${each.requestId}: wrong or truncated answer`),
	};
};

/** Checks that no request reported as `not-run` has run. */
export const checkNotRun: Checker = ({answers, runs}) => {
	const ran = new Set(runs.map((each) => each.requestId));
	const notRun = answers.filter((each) => each.outcome === 'not-run');
	return {
		checked: notRun.length,
		violations: notRun
			.filter((each) => ran.has(each.requestId))
			.map((each) => `${each.requestId}: reported as not-run, but it ran`),
	};
};

/** Checks that a non-repeatable request runs at most once. */
export const checkAtMostOnce: Checker = ({runs}) => {
	const counts = [...countBy(runs, (each) => each.key)];
	return {
		checked: counts.length,
		violations: counts
			.filter(([, count]) => count > 1)
			.map(([key, count]) => `${key}: ran ${count} times`),
	};
};
