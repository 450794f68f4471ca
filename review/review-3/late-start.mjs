/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * An executor leaves starts unanswered and is cut off. It crashes behind the cut,
 * starts again under its id, and carries the starts out late.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	createClient,
	createJob,
	createWorld,
	hasTrouble,
	newJobId,
	runCase,
} from './world.mjs';

const jobCount = 8;
const lateMs = 7000;
const cutMs = 9000;
const downMs = 4500;
const crashAfterCutMs = 1500;

const world = await createWorld({
	daemons: 3,
	services: [{name: 'claims', executors: 8}],
	queues: [{name: 'r-1', pathPrefix: '/jobs/', service: 'claims'}],
	lateMs,
});
const {events, note, now} = world.record;

/** When each run began and ended on its executor. */
const listRuns = () => {
	const runs = [];
	for (const {kind, atMs, executor, bornMs, task, run, isLate} of events) {
		if (kind === 'start') {
			runs.push({task, run, executor, bornMs, isLate, fromMs: atMs});
		} else if (kind === 'end' || kind === 'down') {
			for (const each of runs) {
				const isOver =
					each.untilMs === undefined &&
					each.executor === executor &&
					each.bornMs === bornMs &&
					(kind === 'down' || (each.task === task && each.run === run));
				if (isOver) {
					each.untilMs = atMs;
				}
			}
		}
	}

	return runs;
};

const listOverlaps = () => {
	const runs = listRuns();
	const nowMs = Math.round(now());
	return runs.flatMap((one, index) =>
		runs
			.slice(index + 1)
			.filter(({task}) => task === one.task)
			.map((other) => ({
				one,
				other,
				forMs:
					Math.min(one.untilMs ?? nowMs, other.untilMs ?? nowMs) -
					Math.max(one.fromMs, other.fromMs),
			}))
			.filter(({forMs}) => forMs > 0),
	);
};

const troubleExecutor = async (executor) => {
	executor.setCommands('is-late');
	note({kind: 'commands late', executor: executor.getId(), lateMs});
	await delay(300);
	executor.setLink('silent', true);
	await delay(crashAfterCutMs);
	executor.crash();
	await delay(downMs);
	await executor.restart();
	executor.setCommands('answers');
	executor.setLink('silent', true);
	await delay(cutMs - crashAfterCutMs - downMs);
	executor.setLink('open', true);
};

await runCase(world, async () => {
	await delay(12_000);
	const client = createClient(world);
	const trouble = hasTrouble ? troubleExecutor(world.executors[0]) : undefined;
	await Promise.all(
		Array.from({length: jobCount}, async (_, index) =>
			client.call('POST', `/jobs/${newJobId()}`, {
				body: createJob({count: 1, cpu: 2000, memMb: 1024, workMs: 25_000}),
				daemon: world.daemons[index % world.daemons.length],
			}),
		),
	);
	await trouble;
	await delay(hasTrouble ? 14_000 : 23_000);
	const overlaps = listOverlaps();
	for (const each of overlaps) {
		note({kind: 'two runs at once', ...each});
	}

	return overlaps.length > 0
		? `${overlaps.length} tasks ran twice at once, for ${overlaps.map(({forMs}) => forMs).join(', ')} ms`
		: undefined;
});
