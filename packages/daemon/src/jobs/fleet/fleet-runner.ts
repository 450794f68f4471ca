/**
 * Orders what happens to machines while this daemon holds the fleet's shard:
 * waves of maintenance and moves between pools. The owners of services empty
 * the executors; here it is decided which, and the platform is asked.
 */
import type {fleet} from '@gullstand/core';
import type {Machines, RowStore, WaveRequest} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {delay, isConfirmedWithin, type Clock, type Moment} from '../clock.js';
import type {OwnerChannel} from '../entry/owner-channel.js';
import type {HeldShard} from '../shards/held-shard.js';
import {
	fleetPeriods,
	readFleetView,
	reportTerminated,
	type FleetContext,
	type ListedExecutorIds,
} from './fleet-context.js';
import {createCommandLog} from './command-log.js';
import {createPoolMover} from './pool-mover.js';
import {
	createMachineWaveRunner,
	type WaveStatusPort,
} from './machine-wave-runner.js';

/** What the runner needs. */
export type FleetRunnerDeps = {
	readonly held: HeldShard;
	readonly holder: string;
	readonly store: RowStore;
	readonly machines: Machines;
	readonly status: WaveStatusPort;
	readonly owners: OwnerChannel;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly pools: fleet.PoolConfig;
	/** Time between orders of two holders for one machine, milliseconds. */
	readonly turnoverMs: number;
	/** How long the holder acts without having confirmed its lease. */
	readonly maxUnconfirmedMs: number;
	readonly getLeasesConfirmedAt: () => Moment | undefined;
	readonly listWaves: () => readonly WaveRequest[];
	readonly hasOwner: (service: string) => boolean;
	readonly getStandbyPool: () => string | undefined;
	readonly onLost: (reason: string) => void;
	readonly reportFailure: ReportFailure;
};

/** The runner while the shard is held. */
export type FleetRunner = {
	readonly start: () => void;
	readonly stop: () => void;
};

/** Creates a runner; it does nothing before `start`. */
export const createFleetRunner = (deps: FleetRunnerDeps): FleetRunner => {
	const {held, clock} = deps;
	const logger = deps.logger.child({shard: held.shard});
	const state = {isStopped: false};
	const seen: ListedExecutorIds = new Set();

	const lose = (reason: string) => {
		if (!state.isStopped) {
			state.isStopped = true;
			deps.onLost(reason);
		}
	};

	const isBelieved = (): boolean =>
		!state.isStopped &&
		isConfirmedWithin(
			clock,
			deps.getLeasesConfirmedAt(),
			deps.maxUnconfirmedMs,
		);

	const orders = createCommandLog({
		store: deps.store,
		held,
		now: clock.now,
		turnoverMs: deps.turnoverMs,
		logger,
		onLost() {
			lose('the lease row has changed');
		},
	});

	const context: FleetContext = {
		held,
		holder: deps.holder,
		store: deps.store,
		machines: deps.machines,
		owners: deps.owners,
		clock,
		logger,
		hasOwner: deps.hasOwner,
		mayCommand: isBelieved,
		commandLog: orders,
		isStopped: () => state.isStopped,
		loseShard: lose,
	};
	const waves = createMachineWaveRunner(context, deps.status);
	const pools = createPoolMover(context, {
		cfg: deps.pools,
		getStandbyPool: deps.getStandbyPool,
		isReserved: waves.isReserved,
	});

	const runRound = async () => {
		await waves.acceptRequests(deps.listWaves());
		const view = await readFleetView(context);
		if (view) {
			await reportTerminated(context, view, seen);
			await waves.runRound(view);
			await pools.runRound(view);
		}
	};

	const run = async () => {
		while (
			!state.isStopped &&
			!((await waves.load()) && (await orders.load()))
		) {
			await delay(fleetPeriods.roundMs);
		}

		logger.info('fleet taken over', {
			fencingToken: held.token,
			previous: held.previous,
		});
		while (!state.isStopped) {
			if (isBelieved()) {
				await runRound();
			}

			await delay(fleetPeriods.roundMs);
		}
	};

	return {
		start() {
			runInBackground(run, deps.reportFailure);
		},
		stop() {
			state.isStopped = true;
		},
	};
};
