/** Collects the records that checkers read; times are monotonic ms. */
import {performance} from 'node:perf_hooks';
import type {Contract, Instance, Service} from '@gullstand/core';
import type {TableService, Write} from '@gullstand/ports';
import type {Records, RunRecord, StoreRecord} from '../../checkers/records.js';

type Mutable<Type> = {-readonly [Key in keyof Type]: Type[Key]};

/** A run that may not have ended. */
export type OpenRun = Mutable<RunRecord>;

/** Records under collection. */
export type Recorder = {
	readonly [Key in keyof Records]: Array<Records[Key][number]>;
};

/** The clock of all records, in milliseconds. */
export const now = (): number => performance.now();

export const createRecorder = (): Recorder => ({
	runs: [],
	answers: [],
	store: [],
	reboots: [],
	losses: [],
	probes: [],
	acceptances: [],
});

const toRecord = (write: Write, at: number): StoreRecord | undefined => {
	if (write.kind !== 'put') {
		return undefined;
	}

	const {value} = write;
	switch (write.table) {
		case 'instance': {
			return {at, kind: 'instance', value: value as Instance};
		}

		case 'contract': {
			return {at, kind: 'contract', value: value as Contract};
		}

		case 'service': {
			return {at, kind: 'service', value: value as Service};
		}

		default: {
			return undefined;
		}
	}
};

/** Wraps a table service and records its committed rows in commit order. */
export const recordTableService = (
	inner: TableService,
	recorder: Recorder,
): TableService => ({
	get: inner.get,
	range: inner.range,
	async commit(writes, operationId) {
		const committed = await inner.commit(writes, operationId);
		if (committed.ok) {
			const at = now();
			const records = writes.map((write) => toRecord(write, at));
			recorder.store.push(...records.filter((each) => each !== undefined));
		}

		return committed;
	},
});
