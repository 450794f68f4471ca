/**
 * Shares the fleet's rate by demand: each daemon puts its demand into a row
 * of the table service and reads those of the others. Rows that stay the same
 * for long belong to daemons that have ended; after an outage all count again.
 */
import * as core from '@gullstand/core';
import type {Row, TableService} from '../ports/table-service.js';
import type {Environment, Guard, RateShare} from './guarded-call.js';

/** Table of demands, one row a daemon. */
export const rateTable = 'rate';

/** What a sharer needs. */
export type RateSharerOptions = {
	readonly tables: TableService;
	readonly guard: Pick<Guard, 'getDemand' | 'setShare'>;
	/** Unique to this life of the daemon. */
	readonly id: string;
	readonly env: Environment;
	readonly fleetRate: RateShare;
	/** Rows unchanged for this long are not counted, in milliseconds. */
	readonly expireAfterMs: number;
};

/** Takes part in the sharing. */
export type RateSharer = {
	/** Puts the own demand, reads the others', takes the share. */
	readonly exchange: () => Promise<void>;
	/** Number of entries that the list shows, at least as many are assumed. */
	readonly setListedEntryCount: (entries: number) => void;
	/** Deletes the own row. */
	readonly leave: () => Promise<void>;
};

/** Part of the rate that is split equally whatever the demands. */
const guaranteedShare = 0.5;

/** Demand is overestimated by this, so that it can grow. */
const growth = 2;

const maxDaemons = 1000;

type State = {
	listed: number;
	seen: core.observation.Observations;
};

const getShare = (
	{fleetRate, guard}: RateSharerOptions,
	others: ReadonlyArray<RateShare | undefined>,
): RateShare => {
	const own = guard.getDemand();
	const share = (name: keyof RateShare) =>
		core.store.getRateShare(
			fleetRate[name],
			own[name] * growth,
			others.map((demand) => demand && demand[name] * growth),
			guaranteedShare,
		);
	return {
		readsPerSecond: share('readsPerSecond'),
		writesPerSecond: share('writesPerSecond'),
	};
};

const toDemand = ({value}: Row): RateShare => value as unknown as RateShare;

const exchange = async (
	options: RateSharerOptions,
	state: State,
): Promise<void> => {
	const {tables, guard, id, env, expireAfterMs} = options;
	const own = {table: rateTable, key: id};
	const value = {...guard.getDemand()};
	const put = {kind: 'put', ...own, value, when: {kind: 'any'}} as const;
	await tables.commit([put], id);
	const read = await tables.range({
		table: rateTable,
		prefix: '',
		limit: maxDaemons,
	});
	if (!read.ok) {
		return;
	}

	const versions = new Map(read.value.map((row) => [row.key, row.version]));
	state.seen = core.observation.observeVersions(
		state.seen,
		versions,
		expireAfterMs,
		env.now(),
	);
	const isLive = ({key, version}: Row) =>
		core.observation.getUnchangedMs(state.seen, key, version) < expireAfterMs;
	const others: Array<RateShare | undefined> = read.value
		.filter((row) => row.key !== id && isLive(row))
		.map((row) => toDemand(row));
	while (others.length + 1 < state.listed) {
		others.push(undefined);
	}

	guard.setShare(getShare(options, others));
};

/** Makes a sharer; the guard's first share stands until an exchange. */
export const createRateSharer = (options: RateSharerOptions): RateSharer => {
	const state: State = {
		listed: 1,
		seen: core.observation.emptyObservations,
	};
	return {
		exchange: async () => exchange(options, state),
		setListedEntryCount(entries) {
			state.listed = entries;
		},
		async leave() {
			const {tables, id} = options;
			const own = {table: rateTable, key: id, when: {kind: 'any'}} as const;
			await tables.commit([{kind: 'delete', ...own}], id);
		},
	};
};
