/**
 * Opens the gates of queues. The gate of a queue in a service's shard is a row
 * whose version each submission checks; it is open in the queue's home only.
 * Source: docs/design/queue-homes.md.
 */
import {queueHome} from '@gullstand/core';
import type {
	RowCheck,
	RowKey,
	RowStore,
	RowTransaction,
	StoredRow,
} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {
	decodeRow,
	getGateKey,
	getHomeKey,
	getKeyAfter,
	getServiceShard,
	queueGateSchema,
	queueHomeSchema,
	tables,
} from '../rows/tables.js';
import type {QueueHistory} from './queue-history.js';

/** The service of a queue by a daemon's configuration. */
export type GateRequest = queueHome.HomeClaim & {readonly queue: string};

export type GateState =
	| {
			readonly kind: 'open';
			/** Version of the gate's row. */
			readonly version: number;
			/** Other services that may have jobs of the queue. */
			readonly formerServices: readonly string[];
	  }
	/** Jobs are accepted in another service, by this configuration. */
	| ({readonly kind: 'moved'} & queueHome.HomeClaim)
	/** The store did not answer or refused. */
	| {readonly kind: 'unread'};

export type OpenGate = Extract<GateState, {readonly kind: 'open'}>;

export type QueueGates = {
	/**
	 * Returns the gate if it is known to be open; otherwise reads it, and opens it
	 * if the queue has its home there or moves there.
	 */
	readonly open: (req: GateRequest, deadline: number) => Promise<GateState>;
	/** Forgets a gate whose row no longer has this version. */
	readonly forget: (shard: string, queue: string, version: number) => void;
};

export type QueueGatesDeps = {
	readonly store: RowStore;
	/** Lists the services in which older releases stored jobs of a queue. */
	readonly listRecorded: QueueHistory['listRecorded'];
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

/** Attempts to open a gate while other daemons change the queue's home. */
const maxTries = 4;

/** Precondition of a submission: its queue has not left the shard. */
export const getGateCheck = (
	shard: string,
	queue: string,
	version: number,
): RowCheck => ({...getGateKey(shard, queue), version});

/** Whether the rows of a conflict show another version of a gate. */
export const isGateChanged = (
	check: RowCheck,
	rows: readonly StoredRow[],
): boolean =>
	rows.find(
		({table, part, key}) =>
			table === check.table && part === check.part && key === check.key,
	)?.version !== check.version;

/** Services other than the home that may have jobs of the queue. */
const listFormer = (
	services: readonly string[],
	service: string,
): readonly string[] => services.filter((each) => each !== service);

/** Moves the home and both gates at once, unless the home has changed. */
const createHomeTransaction = (
	queue: string,
	{home, left}: Extract<queueHome.HomeDecision, {readonly kind: 'write'}>,
	homeVersion: number,
): RowTransaction => {
	const key = getHomeKey(queue);
	const {configuration, services} = home;
	const createGate = (service: string, isOpen: boolean) => ({
		...getGateKey(getServiceShard(service), queue),
		value: JSON.stringify({isOpen, configuration, services}),
	});
	return {
		checks: [{...key, version: homeVersion}],
		puts: [
			{...key, value: JSON.stringify(home)},
			createGate(home.service, true),
			...left.map((each) => createGate(each, false)),
		],
		removes: [],
	};
};

type ReadRow = {readonly isRead: boolean; readonly row?: StoredRow | undefined};

export const createQueueGates = (deps: QueueGatesDeps): QueueGates => {
	const {store, now, logger} = deps;
	const opened = new Map<string, OpenGate>();
	const underWay = new Map<string, Promise<GateState>>();

	const getCacheKey = (shard: string, queue: string): string =>
		`${shard}\n${queue}`;

	const getTimeoutMs = (deadline: number): number =>
		Math.max(1, Math.min(periods.storeTimeoutMs, deadline - now()));

	const readRow = async (
		{table, part, key}: RowKey,
		deadline: number,
	): Promise<ReadRow> => {
		const page = await store.read(
			{table, part, from: key, to: getKeyAfter(key)},
			getTimeoutMs(deadline),
		);
		return page.ok ? {isRead: true, row: page.value.rows[0]} : {isRead: false};
	};

	const cache = (shard: string, queue: string, gate: OpenGate): OpenGate => {
		opened.set(getCacheKey(shard, queue), gate);
		return gate;
	};

	const decodeOpen = (
		{value, version}: StoredRow,
		service: string,
	): OpenGate | undefined => {
		const gate = decodeRow(queueGateSchema, value);
		if (!gate.ok || !gate.value.isOpen) {
			return undefined;
		}

		const formerServices = listFormer(gate.value.services, service);
		return {kind: 'open', version, formerServices};
	};

	const decodeHome = (
		row: StoredRow | undefined,
	): queueHome.QueueHome | undefined => {
		const home = row && decodeRow(queueHomeSchema, row.value);
		if (home && !home.ok) {
			logger.warn('row skipped', {
				table: tables.queueHome,
				key: row?.key,
				...home.error,
			});
		}

		return home?.ok ? home.value : undefined;
	};

	/** Writes the home that a claim leads to; undefined if it may have changed. */
	const writeHome = async (
		{queue, service, configuration}: GateRequest,
		row: StoredRow | undefined,
		deadline: number,
	): Promise<GateState | undefined> => {
		const home = decodeHome(row);
		const recorded = home ? [] : await deps.listRecorded(queue);
		if (!recorded) {
			return {kind: 'unread'};
		}

		const decision = queueHome.decideHome(home, recorded, {
			service,
			configuration,
		});
		if (decision.kind === 'moved') {
			return {
				kind: 'moved',
				service: decision.home.service,
				configuration: decision.home.configuration,
			};
		}

		const result = await store.transact(
			createHomeTransaction(queue, decision, row?.version ?? 0),
			getTimeoutMs(deadline),
		);
		if (!result.ok) {
			const {kind} = result.error;
			// After a lost answer, the rows show whether the write took effect.
			const mayBeOpen = kind === 'conflict' || kind === 'timeout';
			return mayBeOpen ? undefined : {kind: 'unread'};
		}

		logger.info('queue has its home', {
			queue,
			service,
			configuration: decision.home.configuration,
			left: decision.left,
		});
		return {
			kind: 'open',
			version: result.value.version,
			formerServices: listFormer(decision.home.services, service),
		};
	};

	const tryOpen = async (
		req: GateRequest,
		deadline: number,
	): Promise<GateState | undefined> => {
		const {queue, service} = req;
		const gate = await readRow(
			getGateKey(getServiceShard(service), queue),
			deadline,
		);
		const isOpen = gate.row && decodeOpen(gate.row, service);
		if (!gate.isRead || isOpen) {
			return isOpen ?? {kind: 'unread'};
		}

		const home = await readRow(getHomeKey(queue), deadline);
		return home.isRead ? writeHome(req, home.row, deadline) : {kind: 'unread'};
	};

	const openNow = async (
		req: GateRequest,
		deadline: number,
	): Promise<GateState> => {
		for (let tries = 0; tries < maxTries && now() < deadline; tries += 1) {
			const state = await tryOpen(req, deadline);
			if (state?.kind === 'open') {
				return cache(getServiceShard(req.service), req.queue, state);
			}

			if (state) {
				return state;
			}
		}

		return {kind: 'unread'};
	};

	return {
		async open(req, deadline) {
			const {queue, service, configuration} = req;
			const key = getCacheKey(getServiceShard(service), queue);
			const known = opened.get(key);
			if (known) {
				return known;
			}

			const callKey = `${key}\n${configuration}`;
			const current = underWay.get(callKey);
			if (current) {
				return current;
			}

			const call = openNow(req, deadline);
			underWay.set(callKey, call);
			try {
				return await call;
			} finally {
				underWay.delete(callKey);
			}
		},
		forget(shard, queue, version) {
			const key = getCacheKey(shard, queue);
			if (opened.get(key)?.version === version) {
				opened.delete(key);
			}
		},
	};
};
