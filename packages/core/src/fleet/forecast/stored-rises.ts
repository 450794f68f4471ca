/** Value of the row in which the last rises outlast a holder of the fleet. */
import type {Rise} from './rises.js';

/** Content of the row. */
export type StoredRises = {
	readonly format: 1;
	readonly rises: readonly Rise[];
};

/** Maximum size of the row, in bytes. */
const maxBytes = 6000;

const roundRise = ({pool, startEpochMs, lengthMs, heightCpu}: Rise): Rise => ({
	pool,
	startEpochMs: Math.round(startEpochMs),
	lengthMs: Math.round(lengthMs),
	heightCpu: Math.round(heightCpu),
});

/** Formats the row, without the oldest rises if it would be too large. */
export const formatStoredRises = (rises: readonly Rise[]): string => {
	const encoder = new TextEncoder();
	for (let from = 0; ; from++) {
		const kept = rises.slice(from).map((each) => roundRise(each));
		const row: StoredRises = {format: 1, rises: kept};
		const text = JSON.stringify(row);
		if (kept.length === 0 || encoder.encode(text).length <= maxBytes) {
			return text;
		}
	}
};
