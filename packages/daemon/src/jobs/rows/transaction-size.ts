/** Limits the size of a transaction, so that the store accepts it in time. */
import {Buffer} from 'node:buffer';
import type {RowTransaction} from '@gullstand/ports';

/**
 * Maximum size of all values in one transaction, in bytes. In base64 they take
 * 0.61 s at 7 Mbit/s, within the commit time-out of 0.8 s, and less than the
 * store's limit of 1 MB. A larger transaction would fail at every attempt.
 */
export const maxTransactionBytes = 400_000;

/** Size of a value in bytes, before it is encoded for the wire. */
export const getValueBytes = (value: string): number =>
	Buffer.byteLength(value);

/** Whether the values of a transaction are within the limit. */
export const isWithinSize = ({puts}: RowTransaction): boolean =>
	puts.reduce((sum, {value}) => sum + getValueBytes(value), 0) <=
	maxTransactionBytes;
