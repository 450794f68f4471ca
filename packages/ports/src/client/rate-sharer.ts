/**
 * Divides the fleet's rate among the daemons by demand: each daemon writes its
 * demand to a row of the table service and reads the rows of the others. Rows
 * that remain unchanged belong to terminated daemons and expire; after an outage
 * all rows count again.
 */
import * as core from '@gullstand/core';
import type {Row, TableService} from '../ports/table-service.js';
import type {Environment, Guard, RateShare} from './guarded-call.js';

/** Table of demands, one row per daemon. */
export const rateTable = 'rate';

/** Options of a rate sharer. */
export type RateSharerOptions = {
	readonly tables: TableService;
	readonly guard: Pick<Guard, 'getDemand' | 'setShare'>;
	/** Unique to this incarnation of the daemon. */
	readonly id: string;
	readonly env: Environment;
	readonly fleetRate: RateShare;
	/** Time after which an unchanged row is ignored, in milliseconds. */
	readonly expireAfterMs: number;
};

/** Keeps the rate share of this daemon up to date. */
export type RateSharer = {
	/** Writes this daemon's demand, reads the others and sets the share. */
	readonly exchange: () => Promise<void>;
	/** Sets the number of listed entries, which is the minimum assumed. */
	readonly setListedEntryCount: (entries: number) => void;
	/** Deletes the row of this daemon. */
	readonly leave: () => Promise<void>;
};

/** Fraction of the rate that is split equally regardless of demand. */
const guaranteedShare = 0.5;

/** Factor by which demand is overestimated, so that it can grow. */
const growthFactor = 2;

const maxDaemons = 1000;

type State = {
	listedEntryCount: number;
	observations: core.observation.Observations;
};

const getShare = (
	{fleetRate, guard}: RateSharerOptions,
	others: ReadonlyArray<RateShare | undefined>,
): RateShare => {
	const own = guard.getDemand();
	const share = (name: keyof RateShare) =>
		core.store.getRateShare(
			fleetRate[name],
			own[name] * growthFactor,
			others.map((demand) => demand && demand[name] * growthFactor),
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
	state.observations = core.observation.observeVersions(
		state.observations,
		versions,
		expireAfterMs,
		env.now(),
	);
	const isLive = ({key, version}: Row) =>
		core.observation.getUnchangedMs(state.observations, key, version) <
		expireAfterMs;
	const others: Array<RateShare | undefined> = read.value
		.filter((row) => row.key !== id && isLive(row))
		.map((row) => toDemand(row));
	while (others.length + 1 < state.listedEntryCount) {
		others.push(undefined);
	}

	guard.setShare(getShare(options, others));
};

/** Creates a sharer; the guard keeps its initial share until an exchange. */
export const createRateSharer = (options: RateSharerOptions): RateSharer => {
	const state: State = {
		listedEntryCount: 1,
		observations: core.observation.emptyObservations,
	};
	return {
		exchange: async () => exchange(options, state),
		setListedEntryCount(entries) {
			state.listedEntryCount = entries;
		},
		async leave() {
			const {tables, id} = options;
			const own = {table: rateTable, key: id, when: {kind: 'any'}} as const;
			await tables.commit([{kind: 'delete', ...own}], id);
		},
	};
};
