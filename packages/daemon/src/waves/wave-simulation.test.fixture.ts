/** Simulation of a fleet in memory, for tests of the wave runner. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import {budget, waves, type Contract, type Instance} from '@gullstand/core';
import {
	createMemoryInstanceList,
	createMemoryTableService,
	type TableService,
	type Workers,
} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import {commitChange} from '../view/commit-change.js';
import {toJson} from '../view/tables.js';
import {createViewFollower} from '../view/view-follower.js';
import {createWaveRunner} from './wave-runner.js';

/** Instances of the fleet. */
export const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
/** Instances that the contract allows to be away. */
export const maxAway = 2;
const keepExecutors = 4;
const roundMs = 10_000;

const service: core.Service = {
	name: 'quoting',
	pool: 'quoting',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503]},
};

const contract: Contract = {
	customer: 'brokers',
	weight: 1,
	tokenHashes: [],
	services: [
		{
			service: 'quoting',
			keepExecutors,
			maxAway,
			answerWithinMs: 500,
			requestsPerSecond: 10,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const createInstance = (id: string, index: number): Instance => ({
	id,
	kind: 'executor',
	address: `127.0.0.1:${index + 1}`,
	region: 'midlands',
	availabilityZone: `az${index % 3}`,
	rack: `r${index % 3}`,
	pool: 'quoting',
	epoch: 1,
	state: 'serving',
});

/** Fault injected into one commit. */
export type Fault =
	'none' | 'unavailable' | 'lost-reply' | 'lost-request' | 'killed';

const noLogger = {
	info() {
		// Nothing is printed in tests.
	},
} as unknown as Logger;

/** Creates the simulation, with counts of budget violations and reboots. */
export const createSimulation = async () => {
	const table = createMemoryTableService();
	const list = createMemoryInstanceList();
	const booting = new Map<string, number>();
	const counts = {overspent: 0, reboots: new Map<string, number>()};
	const clock = {now: 1_000_000, round: 0};
	const outageStart: {-readonly [Key in keyof core.move.OutageStart]: number} =
		{
			...core.move.noOutageStart,
		};
	const faults: Fault[] = [];
	const incarnations = new Map<string, number>(ids.map((id) => [id, 1]));

	const setListed = (id: string, state: 'live' | 'leaving') => {
		list.set({
			id,
			role: 'executor',
			address: '',
			availabilityZone: '',
			state,
			incarnation: `${id}${incarnations.get(id)}`,
		});
	};

	/** Checks the budget by the instance rows after each commit. */
	const checkBudget = () => {
		const rows = table.dump().filter((row) => row.table === 'instance');
		const away = rows.filter(
			({value}) => (value as unknown as Instance).state !== 'serving',
		).length;
		const isOver = away > maxAway || ids.length - away < keepExecutors;
		counts.overspent += isOver ? 1 : 0;
	};

	const commit: TableService['commit'] = async (writes, operationId) => {
		const fault = faults.shift() ?? 'none';
		if (fault === 'unavailable') {
			return core.fail({kind: 'unavailable'});
		}

		if (fault === 'lost-request') {
			return core.fail({kind: 'timeout'});
		}

		const committed = await table.commit(writes, operationId);
		checkBudget();
		if (fault === 'killed') {
			throw new Error('killed');
		}

		return fault === 'lost-reply' ? core.fail({kind: 'timeout'}) : committed;
	};

	const workers = {
		async reboot(id: string, incarnation: string) {
			if (incarnation !== `${id}${incarnations.get(id)}`) {
				return core.fail({kind: 'refused', reason: 'another incarnation'});
			}

			counts.reboots.set(id, (counts.reboots.get(id) ?? 0) + 1);
			booting.set(id, clock.round + 2);
			setListed(id, 'leaving');
			return core.succeed(undefined);
		},
	} as unknown as Workers;

	/** Each runs once when a withdrawal reads instances, after the ledgers. */
	const hooks: Array<() => Promise<void>> = [];
	const faultyTable: TableService = {
		...table,
		commit,
		async get(name, key) {
			if (name === budget.tables.instances) {
				await hooks.shift()?.();
			}

			return table.get(name, key);
		},
	};
	const followers: Array<ReturnType<typeof createViewFollower>> = [];
	const createRunner = () => {
		const follower = createViewFollower(faultyTable, 1000);
		followers.push(follower);
		return createWaveRunner({
			table: faultyTable,
			list,
			workers,
			getFollowed: follower.getFollowed,
			async onCommitted(delta) {
				follower.offerDeltas([delta]);
			},
			poll: follower.poll,
			getInFlight: () => 0,
			getReceivedAcknowledgements: () => new Map(),
			readOutageStart: async () => outageStart,
			now: () => clock.now,
			logger: noLogger,
			pollMs: 1000,
			probe: async () => true,
			env: {
				now: () => clock.now,
				async wait(ms) {
					clock.now += ms;
				},
				random: () => 0.5,
			},
		});
	};

	const advance = () => {
		clock.now += roundMs;
		clock.round += 1;
		for (const [id, round] of booting) {
			if (round <= clock.round) {
				booting.delete(id);
				incarnations.set(id, incarnations.get(id)! + 1);
				setListed(id, 'live');
			}
		}
	};

	for (const id of ids) {
		setListed(id, 'live');
	}

	const instances = ids.map((id, index) => createInstance(id, index));
	await commitChange(
		table,
		[
			{
				table: 'service',
				key: 'quoting',
				value: toJson(service),
				when: {kind: 'absent'},
			},
			{
				table: 'contract',
				key: 'brokers',
				value: toJson(contract),
				when: {kind: 'absent'},
			},
			...instances.map((instance) => ({
				table: 'instance' as const,
				key: instance.id,
				value: toJson(instance),
				when: {kind: 'absent'} as const,
			})),
		],
		randomUUID(),
	);
	const rows = waves.createDomainRows('w@1', ['quoting'], instances);
	const wave: waves.Wave = {
		id: 'w',
		rows: 'w@1',
		author: 'op',
		state: 'running',
		pools: ['quoting'],
		settings: {...waves.waveDefaults, deferWithinMs: 0},
		createdAt: clock.now,
		startedAt: clock.now,
		endedAt: undefined,
		deadline: clock.now + 1000 * roundMs,
		domains: rows.length,
		instances: ids.length,
	};
	await table.commit(
		[
			...rows.map((row) => waves.createDomainInsert(row)),
			waves.createWaveInsert(wave),
		].map((put) => ({...put, value: toJson(put.value)})),
		randomUUID(),
	);
	const readWave = async () => {
		const row = await table.get(budget.tables.waves, 'w');
		return (row.ok ? row.value?.value : undefined) as unknown as waves.Wave;
	};

	const setState = async (state: waves.WaveState) => {
		const row = await table.get(budget.tables.waves, 'w');
		if (row.ok && row.value) {
			const {version} = row.value;
			const value = {...(row.value.value as unknown as waves.Wave), state};
			const put = waves.createWavePut(value, version);
			await table.commit([{...put, value: toJson(value)}], randomUUID());
		}
	};

	/** Changes the contract; every entry sees the change immediately. */
	const setMaxAway = async (allowed: number) => {
		const row = await table.get('contract', 'brokers');
		const [terms] = contract.services;
		await commitChange(
			table,
			[
				{
					table: 'contract',
					key: 'brokers',
					value: toJson({
						...contract,
						services: [{...terms, maxAway: allowed}],
					}),
					when: {
						kind: 'version',
						version: row.ok ? (row.value?.version ?? 0) : 0,
					},
				},
			],
			randomUUID(),
		);
		await Promise.all(followers.map(async (each) => each.poll()));
	};

	const countAway = () =>
		table
			.dump()
			.filter((row) => row.table === 'instance')
			.filter(({value}) => (value as unknown as Instance).state !== 'serving')
			.length;
	return {
		table,
		list,
		faults,
		outageStart,
		hooks,
		setMaxAway,
		counts,
		clock,
		createRunner,
		advance,
		readWave,
		setState,
		countAway,
		setListed,
	};
};

export type Simulation = Awaited<ReturnType<typeof createSimulation>>;

/** Runs rounds; a killed runner is replaced by a new one. */
export const runRounds = async (
	simulation: Simulation,
	runners: number,
	rounds: number,
) => {
	const running = Array.from({length: runners}, () =>
		simulation.createRunner(),
	);
	for (let round = 0; round < rounds; round += 1) {
		for (const [index, runner] of running.entries()) {
			try {
				await runner.step();
			} catch (err) {
				if ((err as Error).message !== 'killed') {
					throw err;
				}

				running[index] = simulation.createRunner();
			}
		}

		simulation.advance();
		const {state} = await simulation.readWave();
		if (state === 'done') {
			return;
		}
	}
};
