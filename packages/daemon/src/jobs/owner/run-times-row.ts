/** Adds the row of an owner's run times to flushes that are made anyway. */
import {scheduler} from '@gullstand/core';
import type {RowLimits, RowTransaction} from '@gullstand/ports';
import {singleKeys, tables} from '../rows/tables.js';
import {isWithinLimits} from '../rows/transaction-size.js';

/** Shortest time between two transactions that write the row. */
const minIntervalMs = 5000;

/** Adds the row to transactions. */
export type RunTimesRow = {
	/**
	 * Adds the row if the run times have changed, no transaction had the row for
	 * five seconds and the transaction has room for it.
	 */
	readonly addTo: (transaction: RowTransaction, now: number) => RowTransaction;
};

export const createRunTimesRow = (
	part: string,
	runTimes: scheduler.RunTimes,
	limits: RowLimits,
): RunTimesRow => {
	let sentVersion = runTimes.version;
	let nextAt = 0;
	return {
		addTo(transaction, now) {
			if (runTimes.version === sentVersion || now < nextAt) {
				return transaction;
			}

			const put = {
				table: tables.owner,
				part,
				key: singleKeys.runTimes,
				value: scheduler.encodeRunTimes(runTimes),
			};
			const larger = {...transaction, puts: [...transaction.puts, put]};
			if (!isWithinLimits(larger, limits)) {
				return transaction;
			}

			// A transaction that fails is not repeated with the row at once: it may
			// fail because the store is slow.
			sentVersion = runTimes.version;
			nextAt = now + minIntervalMs;
			return larger;
		},
	};
};
