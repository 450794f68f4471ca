/** Groups submissions into transactions. */
import type {scheduler} from '@gullstand/core';
import type {RowLimits} from '@gullstand/ports';
import {getValueBytes} from '../rows/transaction-size.js';

/** A submission and the value of its row. */
export type BatchItem = {
	readonly job: scheduler.AcceptedJob;
	readonly text: string;
	/** Version of its queue's gate. */
	readonly gateVersion: number;
};

/** Submissions for one transaction. */
export type SubmissionBatch<Item extends BatchItem> = {
	/** Whether the item fits into the transaction; it always fits an empty one. */
	readonly hasRoomFor: (item: Item) => boolean;
	readonly add: (item: Item) => void;
	readonly list: () => readonly Item[];
};

/** Entries of one job: a check and a row. */
const jobEntries = 2;

/** Queues per transaction, each with a check of its gate. */
const maxQueues = 9;

/** Jobs per transaction, besides the check of the lease and of the gates. */
const getMaxJobs = ({maxEntries}: RowLimits): number =>
	Math.max(1, Math.floor((maxEntries - 1 - maxQueues) / jobEntries));

export const createBatch = <Item extends BatchItem>(
	limits: RowLimits,
): SubmissionBatch<Item> => {
	const maxJobs = getMaxJobs(limits);
	const items = new Map<string, Item>();
	const gateVersions = new Map<string, number>();
	let bytes = 0;

	const hasBytesFor = (text: string): boolean =>
		items.size === 0 ||
		bytes + getValueBytes(text) <= limits.maxTransactionBytes;

	/** Whether the batch checks this version of the gate, or can do so. */
	const canCheckGate = ({job, gateVersion}: BatchItem): boolean => {
		const version = gateVersions.get(job.policy.queue);
		return version === undefined
			? gateVersions.size < maxQueues
			: version === gateVersion;
	};

	return {
		hasRoomFor: (item) =>
			items.size < maxJobs &&
			!items.has(item.job.id) &&
			hasBytesFor(item.text) &&
			canCheckGate(item),
		add(item) {
			const {id, policy} = item.job;
			items.set(id, item);
			bytes += getValueBytes(item.text);
			gateVersions.set(policy.queue, item.gateVersion);
		},
		list: () => [...items.values()],
	};
};
