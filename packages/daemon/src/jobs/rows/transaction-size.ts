/** How many bytes a transaction may hold, so that the store takes it in time. */
import {Buffer} from 'node:buffer';
import type {RowTransaction} from '@gullstand/ports';

/**
 * Most bytes of values in one transaction; origin: 533 KB in base64 last 0.61 s
 * of the 0.8 s that a commit is waited for at 7 Mbit/s, and the store takes
 * 1 MB. A larger one is refused or lost each time that it is tried.
 */
export const maxTransactionBytes = 400_000;

/** Bytes of a value before it is encoded for the wire. */
export const getValueBytes = (value: string): number =>
	Buffer.byteLength(value);

/** Whether a transaction holds no more than it may. */
export const isWithinSize = ({puts}: RowTransaction): boolean =>
	puts.reduce((sum, {value}) => sum + getValueBytes(value), 0) <=
	maxTransactionBytes;
