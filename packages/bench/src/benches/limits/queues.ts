/** FIFO queues of waiting requests by entry and pool. */
import type {Request, Simulation} from './simulation.js';
import * as simulations from './simulation.js';

/** Decisions of a strategy for one entry and pool. */
export type Decisions = {
	/** Picks an executor for the request, if any, and counts it in flight. */
	readonly acquire: (request: Request) => string | undefined;
	/** Called when a request on the executor has ended. */
	readonly finish: (executor: string) => void;
	/** Called after every change, when nothing more can be dispatched. */
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

/** Dispatches all requests that can be, then reports the queue change. */
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

/** Queues a request; it is given up if it still waits at its limit. */
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

/** Drops the waiting requests of a lost entry. */
export const drop = (queue: EntryQueue) => {
	simulations.addWaiting(queue.simulation, queue.pool, -queue.waiting.length);
	queue.waiting.length = 0;
};
