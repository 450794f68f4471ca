/** Starts the executor thread and sends it commands. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {
	ExecutorReport,
	FleetAnswer,
	FleetCommand,
	FleetSettings,
} from './fleet-messages.js';

/** Handle of the executor thread. */
export type Fleet = {
	readonly executors: readonly ExecutorReport[];
	/** Runs a command; resolves with its reports. */
	readonly run: (command: FleetCommand) => Promise<readonly ExecutorReport[]>;
};

/** Starts the executors. Commands must be sent one at a time. */
export const startFleet = async (settings: FleetSettings): Promise<Fleet> => {
	const url = new URL('executor-worker.js', import.meta.url);
	const worker = new Worker(url, {workerData: settings});
	const receive = async () => {
		const [answer] = (await once(worker, 'message')) as [FleetAnswer];
		return answer.executors;
	};

	const executors = await receive();
	return {
		executors,
		async run(command) {
			worker.postMessage(command);
			return receive();
		},
	};
};
