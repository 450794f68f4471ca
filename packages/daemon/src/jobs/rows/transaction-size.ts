/** Compares transactions with what the store takes. */
import {Buffer} from 'node:buffer';
import type {RowLimits, RowTransaction} from '@gullstand/ports';

/** Size of a value in bytes, before it is encoded for the wire. */
export const getValueBytes = (value: string): number =>
	Buffer.byteLength(value);

export const countEntries = ({checks, puts, removes}: RowTransaction): number =>
	checks.length + puts.length + removes.length;

/** Whether a transaction has neither too many entries nor too large values. */
export const isWithinLimits = (
	transaction: RowTransaction,
	{maxEntries, maxTransactionBytes}: RowLimits,
): boolean =>
	countEntries(transaction) <= maxEntries &&
	transaction.puts.reduce((sum, {value}) => sum + getValueBytes(value), 0) <=
		maxTransactionBytes;
