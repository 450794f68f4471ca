/** Handlers of pools with their instances, services and contract promises. */
import * as core from '@gullstand/core';
import type {Instance, InstanceState, View} from '@gullstand/core';
import {answerError} from '../objects/answers.js';
import type {OperatorApp, OperatorDeps} from '../types.js';

const countStates = (
	instances: readonly Instance[],
): Readonly<Record<InstanceState, number>> => {
	const count = (state: InstanceState) =>
		instances.filter((each) => each.state === state).length;
	return {
		serving: count('serving'),
		draining: count('draining'),
		away: count('away'),
		returning: count('returning'),
	};
};

const describePool = (view: View, pool: string) => {
	const index = core.viewIndex.createIndex(view);
	const instances = index.instancesByPool.get(pool) ?? [];
	const services = (index.servicesByPool.get(pool) ?? []).map(({name}) => {
		const contracts = view.contracts.values();
		const promise = core.servicePromise.getServicePromise(contracts, name);
		const executors = index.executorsByService.get(name)?.length ?? 0;
		return {
			service: name,
			promise: promise ?? null,
			mayBeAway: promise
				? core.servicePromise.getAwayAllowance(promise, executors)
				: null,
		};
	});
	return {pool, states: countStates(instances), instances, services};
};

const listPools = (view: View): readonly string[] => {
	const index = core.viewIndex.createIndex(view);
	const names = [
		...index.instancesByPool.keys(),
		...index.servicesByPool.keys(),
	];
	return [...new Set(names)].toSorted();
};

/** Registers the handlers of this domain. */
export const registerPools = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/pools', (c) => {
		const view = deps.getView();
		const pools = listPools(view).map((pool) => describePool(view, pool));
		return c.json({pools, revision: view.revision});
	});
	app.get('/v1/pools/:pool', (c) => {
		const view = deps.getView();
		const pool = c.req.param('pool');
		return listPools(view).includes(pool)
			? c.json({pool: describePool(view, pool), revision: view.revision})
			: answerError('not-found');
	});
};
