/**
 * Runs declared waves on one entry: drains, reboots and returns the instances
 * of a pool one at a time, within the budget of every contract.
 */
import {randomUUID} from 'node:crypto';
import type {Instance, InstanceState, View} from '@gullstand/core';
import type {InstanceList, TableService, Workers} from '@gullstand/platform';
import type {Logger} from '../log/logger.js';
import type {Part} from '../supervisor/supervisor.js';
import {commitChange} from '../view/commit-change.js';

/** A declared wave over one pool. */
export type Wave = {
	readonly id: string;
	readonly pool: string;
	readonly state: 'running' | 'done';
	/** Instances that are done. */
	readonly done: readonly string[];
};

/** What the runner needs. */
export type WaveRunnerDeps = {
	readonly table: TableService;
	readonly list: InstanceList;
	readonly workers: Workers;
	readonly getView: () => View;
	readonly poll: () => Promise<void>;
	/** Requests in flight to an instance. */
	readonly getInFlight: (instance: string) => number;
	readonly logger: Logger;
	readonly pollMs: number;
};

const waveTable = 'wave';

/** Whether one more instance of a pool may be away. */
export const mayTakeAway = (view: View, pool: string): boolean => {
	const members = [...view.instances.values()].filter(
		(each) => each.pool === pool,
	);
	const serving = members.filter((each) => each.state === 'serving').length;
	const away = members.length - serving;
	const names = new Set(
		[...view.services.values()]
			.filter((each) => each.pool === pool)
			.map((each) => each.name),
	);
	const terms = [...view.contracts.values()]
		.flatMap((each) => each.services)
		.filter((each) => names.has(each.service));
	return terms.every(
		(each) => away < each.maxAway && serving - 1 >= each.keepExecutors,
	);
};

/** Creates the runner. */
export const createWaveRunner = (deps: WaveRunnerDeps): Part => {
	let timer: NodeJS.Timeout | undefined;

	const setState = async (instance: Instance, state: InstanceState) => {
		const row = await deps.table.get('instance', instance.id);
		if (!row.ok || !row.value) {
			return;
		}

		const current = row.value.value as unknown as Instance;
		const value = {...current, state, epoch: current.epoch + 1};
		await commitChange(
			deps.table,
			[
				{
					table: 'instance',
					key: instance.id,
					value,
					when: {kind: 'version', version: row.value.version},
				},
			],
			randomUUID(),
		);
		await deps.poll();
	};

	const isListedLive = async (instance: Instance): Promise<boolean> => {
		const listed = await deps.list.list();
		return (
			listed.ok &&
			listed.value.some(
				(each) => each.id === instance.id && each.state === 'live',
			)
		);
	};

	const stepInstance = async (instance: Instance): Promise<boolean> => {
		switch (instance.state) {
			case 'serving': {
				if (mayTakeAway(deps.getView(), instance.pool)) {
					await setState(instance, 'draining');
				}

				return false;
			}

			case 'draining': {
				if (deps.getInFlight(instance.id) === 0) {
					await setState(instance, 'away');
					await deps.workers.reboot(instance.id);
				}

				return false;
			}

			case 'away': {
				if (await isListedLive(instance)) {
					await setState(instance, 'returning');
				}

				return false;
			}

			case 'returning': {
				await setState(instance, 'serving');
				return true;
			}
		}
	};

	const stepWave = async (wave: Wave, version: number) => {
		const members = [...deps.getView().instances.values()].filter(
			(each) => each.pool === wave.pool,
		);
		const next = members.find((each) => !wave.done.includes(each.id));
		const isStepDone = next ? await stepInstance(next) : true;
		if (!isStepDone) {
			return;
		}

		const value: Wave = next
			? {...wave, done: [...wave.done, next.id]}
			: {...wave, state: 'done'};
		await deps.table.commit(
			[
				{
					kind: 'put',
					table: waveTable,
					key: wave.id,
					value,
					when: {kind: 'version', version},
				},
			],
			randomUUID(),
		);
	};

	const step = async () => {
		const rows = await deps.table.range({
			table: waveTable,
			prefix: '',
			limit: 100,
		});
		if (!rows.ok) {
			return;
		}

		for (const row of rows.value) {
			const wave = row.value as unknown as Wave;
			if (wave.state === 'running') {
				await stepWave(wave, row.version);
			}
		}
	};

	const schedule = (reportFailure: (err: Error) => void) => {
		timer = setTimeout(async () => {
			try {
				await step();
			} catch (err) {
				reportFailure(err as Error);
				return;
			}

			if (timer) {
				schedule(reportFailure);
			}
		}, deps.pollMs);
	};

	return {
		name: 'wave-runner',
		async start(reportFailure) {
			schedule(reportFailure);
		},
		async stop() {
			clearTimeout(timer);
			timer = undefined;
		},
	};
};
