/** How many starts an owner may send now, and which of its starts wait. */
import type {Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import {countAvailableStarts, getStartsPerTurn} from './start-window.js';

/** Starts that were sent and not answered yet, by the id of their executor. */
export type PendingStarts = {
	readonly counts: Map<string, number>;
	/** Number of starts that an executor takes on at once. */
	readonly perTurn: number;
};

/** Counts the starts without an answer. */
export const countPendingStarts = ({
	executors,
	startWindow,
}: Owner): PendingStarts => {
	const counts = new Map<string, number>();
	for (const {id, runs} of executors.values()) {
		let count = 0;
		for (const {state} of runs.values()) {
			count += state === 'asked' ? 1 : 0;
		}

		counts.set(id, count);
	}

	return {counts, perTurn: getStartsPerTurn(startWindow)};
};

/** Adds a start, or takes back one that is not sent. */
export const addPendingStart = (
	{counts}: PendingStarts,
	{id}: Executor,
	added: 1 | -1,
): void => {
	counts.set(id, (counts.get(id) ?? 0) + added);
};

/** Returns after how many turns an executor would take on another start. */
export const getStartTurn = (
	{counts, perTurn}: PendingStarts,
	{id}: Executor,
): number => Math.floor((counts.get(id) ?? 0) / perTurn);

/** Returns how many starts the start window allows beside pending ones. */
export const countStartsLeft = (
	{startWindow}: Owner,
	{counts}: PendingStarts,
): number => {
	let count = 0;
	for (const each of counts.values()) {
		count += each;
	}

	return countAvailableStarts(startWindow, count);
};
