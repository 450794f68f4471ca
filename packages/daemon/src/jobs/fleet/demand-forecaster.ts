/**
 * Observes the demand of the pools, forecasts its rises and stores them for the
 * next holder of the fleet's shard. The store is never waited for: without it,
 * rises are learned from observations only.
 */
import {fleet} from '@gullstand/core';
import {match} from 'ts-pattern';
import type {JobMetrics} from '../job-metrics.js';
import {readDemandRises, storeDemandRises} from './demand-rise-rows.js';
import type {FleetContext} from './fleet-context.js';

export type DemandForecaster = {
	/** Observes the pools; returns the demand that is expected, if any. */
	readonly observe: (
		input: Pick<fleet.PoolPlanInput, 'demands' | 'machines'>,
	) => fleet.ExpectedDemand | undefined;
};

export type DemandForecasterDeps = {
	readonly cfg: fleet.PoolConfig;
	readonly metrics: Pick<JobMetrics, 'count' | 'registerGauge'>;
};

/**
 * Shortest time between two reads or two writes of the row, in milliseconds: a
 * rise that is not stored costs accuracy only.
 */
const storeIntervalMs = 1000;

export const createDemandForecaster = (
	context: FleetContext,
	{cfg, metrics}: DemandForecasterDeps,
): DemandForecaster => {
	const {clock, logger, store, held} = context;
	let state = fleet.emptyForecastState;
	let isLoaded = false;
	let hasUnstored = false;
	let isStoreBusy = false;
	let storeCalledAt = Number.NEGATIVE_INFINITY;
	let isStoreAnswering = true;
	let expectedMachines = 0;

	metrics.registerGauge('expected_machines', 'all', () =>
		context.isStopped() ? undefined : expectedMachines,
	);

	/** Logs the first of several calls that the store does not answer. */
	const applyStoreAnswer = (isAnswered: boolean) => {
		if (!isAnswered && isStoreAnswering) {
			logger.warn('demand rises not loaded or stored, trying again');
		}

		isStoreAnswering = isAnswered;
	};

	const load = async () => {
		const rises = await readDemandRises(store, logger);
		applyStoreAnswer(rises !== undefined);
		if (rises) {
			isLoaded = true;
			state = fleet.addStoredRises(state, rises);
			logger.info('demand rises loaded', {rises: rises.length});
		}
	};

	const storeRises = async () => {
		hasUnstored = false;
		const outcome = await storeDemandRises(store, held, state.rises);
		applyStoreAnswer(outcome === 'stored');
		match(outcome)
			.with('stored', () => undefined)
			.with('not-stored', () => {
				hasUnstored = true;
			})
			.with('lost-shard', () => {
				context.loseShard('the lease row has changed');
			})
			.exhaustive();
	};

	/** Loads the row, and then stores it after rises; one call at a time. */
	const callStore = async () => {
		const isDue = clock.now() - storeCalledAt >= storeIntervalMs;
		const isNeeded = !isLoaded || hasUnstored;
		if (!isNeeded || !isDue || isStoreBusy || context.isStopped()) {
			return;
		}

		storeCalledAt = clock.now();
		isStoreBusy = true;
		await (isLoaded ? storeRises() : load());
		isStoreBusy = false;
	};

	const report = (event: fleet.ForecastEvent) => {
		match(event)
			.with({kind: 'ended'}, ({rise}) => {
				hasUnstored = true;
				metrics.count('demand_rises', rise.pool);
				logger.info('demand rise ended', rise);
			})
			.with({kind: 'expected'}, ({rise}) => {
				metrics.count('demand_forecasts', 'expected');
				logger.info('demand rise expected', {
					pool: rise.pool,
					inMs: Math.round(rise.atEpochMs - clock.epochNow()),
					expectedCpu: Math.round(rise.expectedCpu),
					confidence: rise.confidence,
				});
			})
			.with({kind: 'came'}, ({turn, offsetMs}) => {
				metrics.count('demand_forecasts', 'came');
				logger.info('expected demand rise came', {
					pool: turn.pool,
					offsetMs: Math.round(offsetMs),
				});
			})
			.with({kind: 'missed'}, ({turn}) => {
				metrics.count('demand_forecasts', 'missed');
				logger.info('expected demand rise did not come', {
					pool: turn.pool,
					confidence: turn.confidence,
				});
			})
			.exhaustive();
	};

	return {
		observe(input) {
			const {demands, machines} = input;
			const machineCpu = fleet.getMachineCpu(machines);
			const time = {now: clock.now(), epochNow: clock.epochNow()};
			const observed = fleet.observeDemand(state, {
				time,
				machineCpu,
				baseCpu: fleet.getMinMachines(input, cfg) * machineCpu,
				arrivingCpu: new Map(
					demands.map(({pool, arrivingCpu}) => [pool, arrivingCpu]),
				),
			});
			state = observed.state;
			for (const event of observed.events) {
				report(event);
			}

			void callStore();
			const expected = fleet.getExpectedDemand(
				state,
				fleet.forecastDemand(state, time.epochNow),
				{machineCpu, machineCount: machines.length},
			);
			expectedMachines = [...(expected?.machines.values() ?? [])].reduce(
				(sum, each) => sum + each,
				0,
			);
			return expected;
		},
	};
};
