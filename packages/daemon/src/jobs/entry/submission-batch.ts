/** Which submissions go together in one transaction. */
import type {scheduler} from '@gullstand/core';
import {getValueBytes, maxValueBytes} from '../rows/transaction-size.js';

/** A submission and the text of its row. */
export type BatchItem = {
	readonly job: scheduler.AcceptedJob;
	readonly text: string;
};

/** Submissions for one transaction. */
export type SubmissionBatch<Item extends BatchItem> = {
	/** Whether the transaction holds this one, too; an empty one holds any. */
	readonly hasRoomFor: (item: Item) => boolean;
	readonly add: (item: Item) => void;
	readonly list: () => readonly Item[];
};

/**
 * Jobs in one transaction; origin: 100 entries and 1 MB a transaction. Each
 * has a check and a row, beside the check of the lease.
 */
const maxJobs = 45;

/** Queues that one transaction tells; origin: the entries that are left. */
const maxUntold = 100 - 1 - 2 * maxJobs;

/** Queues of a batch that are not told in the store yet. */
export const listUnrecordedQueues = (
	batch: readonly BatchItem[],
	told: ReadonlySet<string>,
): readonly string[] => [
	...new Set(
		batch.map(({job}) => job.policy.queue).filter((queue) => !told.has(queue)),
	),
];

/** Creates an empty batch. */
export const createBatch = <Item extends BatchItem>(
	told: ReadonlySet<string>,
): SubmissionBatch<Item> => {
	const items = new Map<string, Item>();
	const untold = new Set<string>();
	let bytes = 0;

	const hasBytesFor = (text: string): boolean =>
		items.size === 0 || bytes + getValueBytes(text) <= maxValueBytes;

	// A job that is stored before its queue is told has no owner that is known
	// once the queue has moved: it would be answered as if it did not exist.
	const canTell = (queue: string): boolean =>
		told.has(queue) || untold.has(queue) || untold.size < maxUntold;

	return {
		hasRoomFor: ({job, text}) =>
			items.size < maxJobs &&
			!items.has(job.id) &&
			hasBytesFor(text) &&
			canTell(job.policy.queue),
		add(item) {
			const {id, policy} = item.job;
			items.set(id, item);
			bytes += getValueBytes(item.text);
			if (!told.has(policy.queue)) {
				untold.add(policy.queue);
			}
		},
		list: () => [...items.values()],
	};
};
