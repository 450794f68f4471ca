/**
 * Guards against a service that holds a part of a team's cap for tasks which
 * none of its executors can run, while tasks of another service wait for it.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import * as teams from '../../teams/index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	flushAll,
	listRuns,
	planAndStart,
	pollExecutor,
} from '../owner.test.fixture.js';

const roundMs = 100;
const rounds = 200;
const runMs = 500;

const cores = (count: number): scheduler.Resources => ({
	cpuMillis: 1000 * count,
	memoryMb: 10 * count,
	accelerators: 0,
});

/** Cap of the team, in cores. */
const cap = {...cores(8), memoryMb: 0};

type Case = {
	readonly name: string;
	/** Executors of four cores of the other service. */
	readonly executors: number;
	/** What waits in the other service. */
	readonly step: Partial<scheduler.StepSpec>;
	/** Cores that the first service uses at least in the end. */
	readonly cores: number;
};

const cases: readonly Case[] = [
	{name: 'nothing', executors: 2, step: {count: 0}, cores: 8},
	{name: 'work that it can run', executors: 2, step: {}, cores: 4},
	{
		name: 'a label that no executor has',
		executors: 2,
		step: {requiredLabel: 'none'},
		cores: 8,
	},
	{
		name: 'tasks larger than its executors',
		executors: 2,
		step: {count: 10, resources: cores(6)},
		cores: 8,
	},
	{name: 'work without an executor', executors: 0, step: {}, cores: 8},
];

const createService = (shard: string, executors: number) => {
	const owner = createTestOwner(
		Array.from({length: executors}, (_, index) =>
			createListed(`${shard}${index}`),
		),
	);
	return {shard, token: 1, owner, ends: new Map<string, number>()};
};

type Service = ReturnType<typeof createService>;

const submit = (
	{owner}: Service,
	id: string,
	step: Partial<scheduler.StepSpec>,
) => {
	const accepted = createAccepted(id, [
		{count: 400, resources: cores(1), estimateMs: runMs, ...step},
	]);
	scheduler.addJob(owner, {...accepted, team: 't'}, false);
	scheduler.advanceSchedules(owner, 0);
};

/** Ends the runs whose time is over, and plans with the present limit. */
const work = (service: Service, limit: teams.CapLimit, now: number) => {
	const {owner, ends} = service;
	owner.capLimits.set('t', limit);
	for (const {id, lastEndNumber} of owner.executors.values()) {
		const runs = listRuns(owner, id);
		const isOver = ({taskId}: {readonly taskId: string}) =>
			(ends.get(taskId) ?? now + 1) <= now;
		pollExecutor(owner, id, {
			at: now,
			running: runs.filter((each) => !isOver(each)),
			ends: runs
				.filter((each) => isOver(each))
				.map((each, index) => ({...each, number: lastEndNumber + index + 1})),
		});
	}

	flushAll(owner);
	for (const command of planAndStart(owner, now)) {
		if (command.kind === 'start') {
			ends.set(command.run.task.id, now + runMs);
		}
	}
};

for (const {name, executors, step, cores: least} of cases) {
	tap.t.test(`a team's cap is used, another service has ${name}`, async (t) => {
		const services = [createService('a', 2), createService('b', executors)];
		submit(services[0]!, 'a', {});
		submit(services[1]!, 'b', step);
		let row: teams.CapRow = {...teams.emptyCapRow, cap};
		for (let round = 0; round < rounds; round += 1) {
			for (const service of services) {
				const none = teams.noResources;
				const need = scheduler.computeTeamNeeds(service.owner).get('t') ?? {
					used: none,
					waiting: none,
					largest: none,
				};
				const next = teams.planShare(row, cap, service, need);
				if (next && teams.needsWrite(row, service, next, {...need, cap})) {
					const shares = {...row.shares, [service.shard]: next};
					row = {cap, shares, version: row.version + 1};
				}

				const held = row.shares[service.shard]?.share ?? none;
				const share = teams.getUsableShare(row, cap, service, held);
				work(service, {cap, share, isOverCap: false}, round * roundMs);
			}
		}

		const used = [...services[0]!.owner.executors.values()].reduce(
			(sum, each) => sum + each.used.cpuMillis,
			0,
		);
		t.ok(used >= 1000 * least, `${used} of ${cap.cpuMillis}`);
	});
}
