/** Waiting requests of every entry and pool, first in, first out. */
import type {Request, Simulation} from './simulation.js';
import * as simulations from './simulation.js';

/** What a way decides for one entry and pool. */
export type Decisions = {
	/** An executor that the request may go to now; counts it in flight. */
	readonly acquire: (request: Request) => string | undefined;
	/** The request on this executor has ended. */
	readonly finish: (executor: string) => void;
	/** Called after every change, once nothing more can be dispatched. */
	readonly onQueueChange?: (waiting: readonly Request[]) => void;
};

/** The queue of one entry and pool. */
export type EntryQueue = {
	readonly simulation: Simulation;
	readonly pool: number;
	readonly decisions: Decisions;
	readonly waiting: Request[];
};

export const createQueue = (
	simulation: Simulation,
	pool: number,
	decisions: Decisions,
): EntryQueue => ({simulation, pool, decisions, waiting: []});

/** Dispatches all that can be, then lets the way settle. */
export const dispatchWaiting = (queue: EntryQueue) => {
	const {simulation, pool, decisions, waiting} = queue;
	for (let request = waiting[0]; request; request = waiting[0]) {
		const executor = decisions.acquire(request);
		if (executor === undefined) {
			break;
		}

		waiting.shift();
		simulations.addWaiting(simulation, pool, -1);
		simulations.dispatch(simulation, request, executor, {
			onEnd() {
				decisions.finish(executor);
				dispatchWaiting(queue);
			},
		});
	}

	decisions.onQueueChange?.(waiting);
};

/** Takes in a request; it is given up at its deadline if still waiting. */
export const enqueue = (queue: EntryQueue, request: Request) => {
	const {simulation, pool, waiting} = queue;
	waiting.push(request);
	simulations.addWaiting(simulation, pool, 1);
	simulations.schedule(simulation, request.giveUpAtMs, () => {
		const index = waiting.indexOf(request);
		if (index !== -1) {
			waiting.splice(index, 1);
			simulations.addWaiting(simulation, pool, -1);
			simulations.giveUp(simulation, request);
		}
	});
	dispatchWaiting(queue);
};

/** The entry is lost with all that waits in it. */
export const drop = (queue: EntryQueue) => {
	simulations.addWaiting(queue.simulation, queue.pool, -queue.waiting.length);
	queue.waiting.length = 0;
};
