/** Collects the outside records that judges read; times are monotonic ms. */
import {performance} from 'node:perf_hooks';
import type {Contract, Instance, Service} from '@gullstand/core';
import type {TableService, Write} from '@gullstand/ports';
import type {Records, RunRecord, StoreRecord} from '../../checkers/records.js';

type Mutable<Type> = {-readonly [Key in keyof Type]: Type[Key]};

/** A run that may still go on. */
export type OpenRun = Mutable<RunRecord>;

/** Records that grow. */
export type Recorder = {
	readonly [Key in keyof Records]: Array<Records[Key][number]>;
};

/** The one clock of all records. */
export const now = (): number => performance.now();

/** Makes a recorder without records. */
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

/** The store itself, whose committed rows are recorded in their order. */
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
