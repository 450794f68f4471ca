/** A queue of timed events, as a binary heap. */

type Entry = {readonly at: number; readonly run: (now: number) => void};

/** A queue of events in order of time. */
export type EventQueue = {
	readonly add: (at: number, run: (now: number) => void) => void;
	/** Runs all events that are due, in order. */
	readonly advance: (now: number) => void;
};

/** Creates an empty queue. */
export const createEventQueue = (): EventQueue => {
	const heap: Entry[] = [];
	const swap = (a: number, b: number) => {
		[heap[a], heap[b]] = [heap[b]!, heap[a]!];
	};

	const sink = () => {
		let index = 0;
		for (;;) {
			const left = 2 * index + 1;
			let least = index;
			for (const child of [left, left + 1]) {
				if (child < heap.length && heap[child]!.at < heap[least]!.at) {
					least = child;
				}
			}

			if (least === index) {
				return;
			}

			swap(index, least);
			index = least;
		}
	};

	const add = (at: number, run: (now: number) => void) => {
		heap.push({at, run});
		let index = heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (heap[parent]!.at <= heap[index]!.at) {
				break;
			}

			swap(index, parent);
			index = parent;
		}
	};

	const advance = (now: number) => {
		while (heap[0] && heap[0].at <= now) {
			const {at, run} = heap[0];
			const last = heap.pop()!;
			if (heap.length > 0) {
				heap[0] = last;
				sink();
			}

			run(at);
		}
	};

	return {add, advance};
};
