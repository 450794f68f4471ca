/** Groups submissions into transactions. */
import type {scheduler} from '@gullstand/core';
import {getValueBytes, maxTransactionBytes} from '../rows/transaction-size.js';

/** A submission and the value of its row. */
export type BatchItem = {
	readonly job: scheduler.AcceptedJob;
	readonly text: string;
};

/** Submissions for one transaction. */
export type SubmissionBatch<Item extends BatchItem> = {
	/** Whether the item fits into the transaction; it always fits an empty one. */
	readonly hasRoomFor: (item: Item) => boolean;
	readonly add: (item: Item) => void;
	readonly list: () => readonly Item[];
};

/**
 * Jobs per transaction. The store takes 100 entries and 1 MB; each job has a
 * check and a row, and the lease has a check.
 */
const maxJobs = 45;

/** Queues that one transaction can record with the remaining entries. */
const maxUnrecorded = 100 - 1 - 2 * maxJobs;

/** Lists queues of a batch that the store does not record yet. */
export const listUnrecordedQueues = (
	batch: readonly BatchItem[],
	recorded: ReadonlySet<string>,
): readonly string[] => [
	...new Set(
		batch
			.map(({job}) => job.policy.queue)
			.filter((queue) => !recorded.has(queue)),
	),
];

export const createBatch = <Item extends BatchItem>(
	recorded: ReadonlySet<string>,
): SubmissionBatch<Item> => {
	const items = new Map<string, Item>();
	const unrecorded = new Set<string>();
	let bytes = 0;

	const hasBytesFor = (text: string): boolean =>
		items.size === 0 || bytes + getValueBytes(text) <= maxTransactionBytes;

	// If a job were stored before its queue was recorded, it could not be found
	// once the queue had moved.
	const canRecord = (queue: string): boolean =>
		recorded.has(queue) ||
		unrecorded.has(queue) ||
		unrecorded.size < maxUnrecorded;

	return {
		hasRoomFor: ({job, text}) =>
			items.size < maxJobs &&
			!items.has(job.id) &&
			hasBytesFor(text) &&
			canRecord(job.policy.queue),
		add(item) {
			const {id, policy} = item.job;
			items.set(id, item);
			bytes += getValueBytes(item.text);
			if (!recorded.has(policy.queue)) {
				unrecorded.add(policy.queue);
			}
		},
		list: () => [...items.values()],
	};
};
