/**
 * Lets submissions through the gate of their queue: only in the queue's home,
 * and only jobs that no former home has accepted.
 */
import type {scheduler} from '@gullstand/core';
import type {RowCheck, RowStore, StoredRow} from '@gullstand/ports';
import {periods} from '../periods.js';
import {parseServiceShard} from '../rows/tables.js';
import {findAcceptedBefore, type KnownJob} from './accepted-job.js';
import {
	getGateCheck,
	isGateChanged,
	type GateState,
	type QueueGates,
} from './queue-gates.js';

/** A job to be stored in a shard. */
export type GateCandidate = {
	readonly shard: string;
	readonly job: scheduler.AcceptedJob;
	/** Version of the configuration that names the shard's service. */
	readonly configuration: number;
	readonly deadline: number;
};

/** Jobs are accepted in another service; this one is not stored. */
export type MovedQueue = Extract<GateState, {readonly kind: 'moved'}>;

export type GatePass =
	/** The job may be stored if the gate's row has this version. */
	| {readonly kind: 'passed'; readonly version: number}
	| KnownJob
	/** The gate, or a former home, could not be read. */
	| {readonly kind: 'not-stored'}
	| MovedQueue;

export type Gatekeeper = {
	readonly admit: (candidate: GateCandidate) => Promise<GatePass>;
	/** Forgets the gates that the rows of a conflict show to have changed. */
	readonly listChanged: (
		checks: readonly RowCheck[],
		rows: readonly StoredRow[],
	) => ReadonlySet<string>;
};

export type GatekeeperDeps = {
	readonly gates: QueueGates;
	readonly store: RowStore;
	readonly now: () => number;
};

/** Preconditions of a batch: one for the gate of each of its queues. */
export const listGateChecks = (
	shard: string,
	batch: ReadonlyArray<{
		readonly job: scheduler.AcceptedJob;
		readonly gateVersion: number;
	}>,
): readonly RowCheck[] => {
	const versions = new Map(
		batch.map(({job, gateVersion}) => [job.policy.queue, gateVersion]),
	);
	return [...versions].map(([queue, version]) =>
		getGateCheck(shard, queue, version),
	);
};

export const createGatekeeper = ({
	gates,
	store,
	now,
}: GatekeeperDeps): Gatekeeper => ({
	async admit({shard, job, configuration, deadline}) {
		const service = parseServiceShard(shard);
		if (service === undefined) {
			return {kind: 'not-stored'};
		}

		const {queue} = job.policy;
		const gate = await gates.open({queue, service, configuration}, deadline);
		if (gate.kind !== 'open') {
			return gate.kind === 'moved' ? gate : {kind: 'not-stored'};
		}

		// Read after the gate: what is stored elsewhere later fails.
		const accepted = await findAcceptedBefore(
			store,
			job,
			gate.formerServices,
			Math.max(1, Math.min(periods.storeTimeoutMs, deadline - now())),
		);
		return accepted ?? {kind: 'passed', version: gate.version};
	},
	listChanged(checks, rows) {
		const changed = checks.filter((check) => isGateChanged(check, rows));
		for (const {part, key, version} of changed) {
			gates.forget(part, key, version);
		}

		return new Set(changed.map(({key}) => key));
	},
});
