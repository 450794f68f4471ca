/** A simulated clock for processes that are async functions. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** A simulated clock, in milliseconds. */
export type Clock = {
	readonly now: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** Runs timers until the given time or until `isDone` returns true. */
	readonly run: (until: number, isDone?: () => boolean) => Promise<void>;
};

type Timer = {readonly at: number; readonly order: number; wake: () => void};

const isBefore = (one: Timer, two: Timer) =>
	one.at < two.at || (one.at === two.at && one.order < two.order);

const push = (heap: Timer[], timer: Timer) => {
	let index = heap.length;
	heap.push(timer);
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (!isBefore(timer, heap[parent]!)) {
			break;
		}

		heap[index] = heap[parent]!;
		index = parent;
	}

	heap[index] = timer;
};

const pop = (heap: Timer[]): Timer | undefined => {
	const [first] = heap;
	const last = heap.pop();
	if (!last || heap.length === 0) {
		return first;
	}

	let index = 0;
	for (;;) {
		let child = 2 * index + 1;
		if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
			child += 1;
		}

		if (child >= heap.length || !isBefore(heap[child]!, last)) {
			heap[index] = last;
			return first;
		}

		heap[index] = heap[child]!;
		index = child;
	}
};

/** Creates a clock at time 0. */
export const createClock = (): Clock => {
	const heap: Timer[] = [];
	let time = 0;
	let order = 0;
	return {
		now: () => time,
		sleep: async (ms) =>
			new Promise((resolve) => {
				order += 1;
				push(heap, {at: time + Math.max(0, ms), order, wake: resolve});
			}),
		async run(until, isDone = () => false) {
			await nextTurn();
			for (;;) {
				const next = heap[0];
				if (!next || next.at > until || isDone()) {
					return;
				}

				pop(heap);
				time = next.at;
				next.wake();
				await nextTurn();
			}
		},
	};
};
