/** Worker thread that runs the executors of the bench. */
import {parentPort, workerData} from 'node:worker_threads';
import {executor} from '@gullstand/stand-in';
import {createRandom, drawLogNormal} from '../../frame/random.js';
import {clearFaults, phases} from './phases.js';
import type {
	ExecutorReport,
	FleetAnswer,
	FleetCommand,
	FleetSettings,
} from './fleet-messages.js';

const settings = workerData as FleetSettings;
const draw = createRandom(settings.seed);

const executors = await Promise.all(
	Array.from({length: settings.executors}, async (_, index) =>
		executor.startExecutor({
			id: `e${index}`,
			availabilityZone: `z${index % settings.availabilityZones}`,
			slots: settings.slots,
			drawServiceMs: () =>
				drawLogNormal(draw, settings.medianServiceMs, settings.serviceSigma),
			random: draw,
		}),
	),
);

const report = (): ExecutorReport[] =>
	executors.map(({id, address, availabilityZone, runs, unanswered}) => ({
		id,
		address,
		availabilityZone,
		runs,
		swallowed: unanswered,
	}));

const run = async (command: FleetCommand): Promise<void> => {
	switch (command.kind) {
		case 'apply': {
			const phase = phases.find((each) => each.name === command.phase);
			await phase?.apply(executors);
			break;
		}

		case 'heal': {
			await clearFaults(executors);
			break;
		}

		case 'report': {
			break;
		}

		case 'stop': {
			await Promise.all(executors.map(async (each) => each.close()));
			break;
		}
	}
};

const answer = async (command: FleetCommand): Promise<void> => {
	await run(command);
	const message: FleetAnswer = {
		executors: command.kind === 'report' ? report() : [],
	};
	parentPort?.postMessage(message);
	if (command.kind === 'stop') {
		parentPort?.close();
	}
};

parentPort?.on('message', (command: FleetCommand) => {
	void answer(command);
});
parentPort?.postMessage({executors: report()} satisfies FleetAnswer);
