/** A transactional store and a link to it with delays and lost replies. */
import type {StoreWrite} from '@gullstand/core';
import {drawExponential, type Random} from '../../frame/random.js';
import type {Clock} from './clock.js';

/** A row with its version. */
export type ReadRow<Value> = {readonly value: Value; readonly version: number};

/** Rows by table and key. */
export type Store = {
	readonly read: <Value>(
		table: string,
		key: string,
	) => ReadRow<Value> | undefined;
	readonly list: <Value>(
		table: string,
	) => ReadonlyArray<readonly [string, ReadRow<Value>]>;
	/** Applies all writes or none; false if a precondition fails. */
	readonly commit: (writes: ReadonlyArray<StoreWrite<unknown>>) => boolean;
};

/** Creates an empty store. */
export const createStore = (): Store => {
	const tables = new Map<string, Map<string, ReadRow<unknown>>>();
	let lastVersion = 0;

	const getTable = (name: string) => {
		const table = tables.get(name) ?? new Map<string, ReadRow<unknown>>();
		tables.set(name, table);
		return table;
	};

	const isPreconditionMet = ({
		table,
		key,
		when,
	}: StoreWrite<unknown>): boolean => {
		const version = getTable(table).get(key)?.version;
		return (
			when.kind === 'any' ||
			version === (when.kind === 'version' ? when.version : undefined)
		);
	};

	return {
		read: <Value>(table: string, key: string) =>
			getTable(table).get(key) as ReadRow<Value> | undefined,
		list: <Value>(table: string) =>
			[...getTable(table)] as Array<[string, ReadRow<Value>]>,
		commit(writes) {
			if (!writes.every((each) => isPreconditionMet(each))) {
				return false;
			}

			for (const write of writes) {
				if (write.kind === 'put') {
					lastVersion += 1;
					const row = {value: write.value, version: lastVersion};
					getTable(write.table).set(write.key, row);
				} else if (write.kind === 'delete') {
					getTable(write.table).delete(write.key);
				}
			}

			return true;
		},
	};
};

/** Delays and faults of calls to the store. */
export type LinkFaults = {
	/** Mean time of a call, in milliseconds. */
	readonly latencyMs: number;
	/** Share of the calls whose reply is lost after the effect. */
	readonly lostReplies: number;
	readonly timeoutMs: number;
};

/** A reply; if not `ok`, the effect is unknown. */
export type Reply<Value> =
	{readonly ok: true; readonly value: Value} | {readonly ok: false};

/** Runs an effect at the store and returns its reply, if any. */
export type Link = <Value>(
	effect: () => Value,
	isReachable?: () => boolean,
) => Promise<Reply<Value>>;

/** Creates a link; `getFaults` is called for each call. */
export const createLink =
	(clock: Clock, random: Random, getFaults: () => LinkFaults): Link =>
	async (effect, isReachable = () => true) => {
		const {latencyMs, lostReplies, timeoutMs} = getFaults();
		const oneWayMs = Math.min(
			latencyMs / 4 + drawExponential(random, latencyMs / 4),
			timeoutMs / 2,
		);
		if (!isReachable()) {
			await clock.sleep(timeoutMs);
			return {ok: false};
		}

		await clock.sleep(oneWayMs);
		const value = effect();
		await clock.sleep(oneWayMs);
		if (random() < lostReplies || !isReachable()) {
			await clock.sleep(timeoutMs);
			return {ok: false};
		}

		return {ok: true, value};
	};
