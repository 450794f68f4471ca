/**
 * Runs maintenance waves and moves between pools while this daemon holds the
 * fleet's shard. It chooses the machines and commands the platform; the owners
 * of the services evacuate the executors.
 */
import type {fleet} from '@gullstand/core';
import type {Machines, RowStore, WaveRequest} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {delay, isConfirmedWithin, type Clock, type Moment} from '../clock.js';
import type {OwnerChannel} from '../entry/owner-channel.js';
import type {JobMetrics} from '../job-metrics.js';
import type {StoreClockReading} from '../rows/store-clock.js';
import type {HeldShard} from '../shards/held-shard.js';
import {
	fleetPeriods,
	readFleetView,
	type FleetContext,
	type FleetView,
} from './fleet-context.js';
import {createCommandLog} from './command-log.js';
import {createDemandForecaster} from './demand-forecaster.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';
import {
	createMachineWaveRunner,
	type WaveStatusPort,
} from './machine-wave-runner.js';

export type FleetRunnerDeps = {
	readonly held: HeldShard;
	readonly holder: string;
	readonly store: RowStore;
	readonly machines: Machines;
	readonly status: WaveStatusPort;
	readonly owners: OwnerChannel;
	readonly clock: Clock;
	/** Returns the latest reading of the store's clock, if there is one. */
	readonly getStoreTime: () => StoreClockReading | undefined;
	readonly logger: Logger;
	readonly metrics: Pick<JobMetrics, 'count' | 'registerGauge'>;
	readonly pools: fleet.PoolConfig;
	/**
	 * Minimum time between commands of two holders for one machine, in
	 * milliseconds.
	 */
	readonly turnoverMs: number;
	/** How long the holder acts without confirming its lease, in milliseconds. */
	readonly maxUnconfirmedMs: number;
	readonly getLeasesConfirmedAt: () => Moment | undefined;
	readonly listWaves: () => readonly WaveRequest[];
	readonly hasOwner: (service: string) => boolean;
	/** Lists the services that have an owner. */
	readonly listServices: () => readonly string[];
	readonly getStandbyPool: () => string | undefined;
	readonly onLost: (reason: string) => void;
	readonly reportFailure: ReportFailure;
};

export type FleetRunner = {
	readonly start: () => void;
	readonly stop: () => void;
};

/** Failed reads of the machines in a row after which none is kept free. */
const readsUntilRelease = 2;

/** Creates a runner; it is idle until `start` is called. */
export const createFleetRunner = (deps: FleetRunnerDeps): FleetRunner => {
	const {held, clock} = deps;
	const logger = deps.logger.child({shard: held.shard});
	const state = {isStopped: false};
	/** Reads of the machines that failed in a row. */
	let failedReads = 0;

	const lose = (reason: string) => {
		if (!state.isStopped) {
			state.isStopped = true;
			deps.onLost(reason);
		}
	};

	const isLeaseConfirmed = (): boolean =>
		!state.isStopped &&
		isConfirmedWithin(
			clock,
			deps.getLeasesConfirmedAt(),
			deps.maxUnconfirmedMs,
		);

	const commandLog = createCommandLog({
		store: deps.store,
		held,
		clock,
		getStoreTime: deps.getStoreTime,
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
		mayCommand: isLeaseConfirmed,
		commandLog,
		isStopped: () => state.isStopped,
		loseShard: lose,
	};
	const claims = createMachineClaims(clock.now);
	const waves = createMachineWaveRunner(context, deps.status, claims);
	const pools = createPoolMover(context, {
		cfg: deps.pools,
		getStandbyPool: deps.getStandbyPool,
		listServices: deps.listServices,
		isReserved: waves.isReserved,
		claims,
		forecaster: createDemandForecaster(context, {
			cfg: deps.pools,
			metrics: deps.metrics,
		}),
	});

	/** Reads the machines again if the commands of waves have taken long. */
	const renewView = async (view: FleetView) =>
		clock.now() - view.requestedAt > fleetPeriods.maxViewAgeMs
			? readFleetView(context)
			: view;

	/** No command can be sent while the machines can't be listed. */
	const releaseHolds = () => {
		failedReads += 1;
		if (failedReads === readsUntilRelease) {
			waves.releaseHolds();
			pools.releaseHolds();
		}
	};

	const runRound = async () => {
		await waves.acceptRequests(deps.listWaves());
		const view = await readFleetView(context);
		if (view) {
			failedReads = 0;
			await waves.runRound(view);
			const current = await renewView(view);
			if (current) {
				await pools.runRound(current);
			}
		} else {
			releaseHolds();
		}
	};

	const run = async () => {
		while (
			!state.isStopped &&
			!((await waves.load()) && (await commandLog.load()))
		) {
			await delay(fleetPeriods.roundMs);
		}

		logger.info('fleet taken over', {
			fencingToken: held.token,
			previous: held.previous,
		});
		while (!state.isStopped) {
			if (isLeaseConfirmed()) {
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
