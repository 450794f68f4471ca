import * as tap from 'tap';
import {
	createSupervisor,
	defaultRestartPolicy,
	type Part,
	type ReportFailure,
} from './supervisor.js';

const createPart = (name: string, events: string[], failsToStart = false) => {
	let report: ReportFailure = () => undefined;
	const part: Part = {
		name,
		async start(reportFailure) {
			if (failsToStart) {
				throw new Error(`${name} is broken`);
			}

			report = reportFailure;
			events.push(`start ${name}`);
		},
		async stop() {
			events.push(`stop ${name}`);
		},
	};
	return {
		part,
		fail() {
			report(new Error(`${name} failed`));
		},
	};
};

const deps = {
	now: () => 0,
	async delay() {
		await Promise.resolve();
	},
	onRestart: () => undefined,
};

const settle = async () =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

tap.t.test('starts in order and stops in reverse', async (t) => {
	const events: string[] = [];
	const parts = ['a', 'b'].map((name) => createPart(name, events).part);
	const tree = createSupervisor('tree', parts, deps);
	await tree.start(() => undefined);
	await tree.stop(0);
	t.same(events, ['start a', 'start b', 'stop b', 'stop a']);
});

tap.t.test('stops started parts if another does not start', async (t) => {
	const events: string[] = [];
	const parts = [
		createPart('a', events).part,
		createPart('b', events, true).part,
	];
	const tree = createSupervisor('tree', parts, deps);
	await t.rejects(
		tree.start(() => undefined),
		/part b did not start/v,
	);
	t.same(events, ['start a', 'stop a']);
});

tap.t.test('fails after too many restarts of a part', async (t) => {
	const events: string[] = [];
	const {part, fail} = createPart('a', events);
	const tree = createSupervisor('tree', [part], deps);
	let failure: Error | undefined;
	await tree.start((err) => {
		failure = err;
	});
	for (let count = 0; count < defaultRestartPolicy.maxRestarts; count += 1) {
		fail();
		await settle();
	}

	t.equal(failure, undefined);
	t.equal(events.length, 1 + 2 * defaultRestartPolicy.maxRestarts);
	fail();
	await settle();
	t.match(failure?.message, /keeps failing/v);
});
