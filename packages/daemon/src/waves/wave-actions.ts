/**
 * Carries out the actions that the core decides. Each is one transaction over
 * all rows that it changes, conditional on the versions read, so that a daemon
 * that is killed or paused leaves no action half done. No drain or restart
 * takes effect before its commit is certain.
 */
import {randomUUID} from 'node:crypto';
import {budget, waves} from '@gullstand/core';
import {getServicesByPool} from './ledger-cache.js';
import {
	commitInstances,
	commitRows,
	isInstancePut,
	readInstance,
	readInstances,
	type ActionContext,
	type ActionDeps,
	type Put,
} from './wave-commit.js';

const createPhasesWrite = (
	{loaded}: ActionContext,
	ids: readonly string[],
	getPhase: (id: string) => waves.MemberPhase,
): budget.RowPut<waves.WaveDomain> => {
	const {domain} = loaded.progress.members.get(ids[0]!)!;
	const phases = Object.fromEntries(ids.map((id) => [id, getPhase(id)]));
	return waves.createPhasesPut(loaded.rows.get(domain)!, phases);
};

const updatePhases = (
	{loaded}: ActionContext,
	ids: readonly string[],
	getPhase: (id: string) => waves.MemberPhase,
) => {
	for (const id of ids) {
		waves.updatePhase(loaded.progress, [id], getPhase(id));
	}
};

const changePhase = async (
	deps: ActionDeps,
	context: ActionContext,
	ids: readonly string[],
	phase: waves.MemberPhase,
): Promise<boolean> => {
	const put = createPhasesWrite(context, ids, () => phase);
	const isCommitted = await commitRows(deps, context, [put]);
	if (isCommitted) {
		updatePhases(context, ids, () => phase);
	}

	return isCommitted;
};

/**
 * Withdraws the instances of a rack in the ledgers and makes them drain.
 * Commits only if nothing has changed since the view that the ledgers agree
 * with, so that outdated contract terms are never applied.
 */
const withdraw = async (
	deps: ActionDeps,
	context: ActionContext,
	ids: readonly string[],
): Promise<boolean> => {
	const instances = await readInstances(deps, ids);
	if (!instances) {
		return false;
	}

	const {loaded, listed, facts} = context;
	const since = deps.now();
	const operationId = randomUUID();
	const followed = deps.getFollowed();
	const {view} = followed;
	const servicesByPool = getServicesByPool(view);
	const services = instances.flatMap(({value}) =>
		budget.listLedgerServices(value, servicesByPool),
	);
	if (!deps.ledgerCache.isUpToDate(services, view, listed)) {
		return false;
	}

	const change = budget.withdrawInstances(
		{
			operationId,
			wave: loaded.progress.wave.id,
			instances,
			ledgers: deps.ledgerCache.getLedgers(),
			servicesByPool,
			reserves: facts.reserves,
		},
		since,
	);
	if (!change.ok) {
		return false;
	}

	const getPhase = (id: string): waves.MemberPhase => ({
		kind: 'taken',
		since,
		operationId,
		drainRevision: view.revision + 1,
		incarnation: listed.get(id)?.incarnation ?? '',
		isLost: false,
	});
	const puts: readonly Put[] = change.value.writes;
	const isCommitted = await commitInstances(deps, context, {
		id: operationId,
		instances: puts.filter((put) => isInstancePut(put)),
		also: [
			...puts.filter((put) => !isInstancePut(put)),
			createPhasesWrite(context, ids, getPhase),
		],
		newest: followed,
	});
	if (isCommitted) {
		updatePhases(context, ids, getPhase);
	}

	return isCommitted;
};

/** Commits one state transition of one instance. */
const commitTransition = async (
	deps: ActionDeps,
	context: ActionContext,
	id: string,
	name: 'finishDrain' | 'startReturn',
): Promise<boolean> => {
	const instance = await readInstance(deps, id);
	const put = instance && budget.createTransitionPut(instance, name);
	return put
		? commitInstances(deps, context, {
				id: randomUUID(),
				instances: [put],
				also: [],
				guards: name === 'finishDrain' ? context.drainGuards : [],
			})
		: false;
};

const stopInstance = async (
	deps: ActionDeps,
	context: ActionContext,
	id: string,
) => {
	if (!(await commitTransition(deps, context, id, 'finishDrain'))) {
		return false;
	}

	// If the reply is lost, the list shows the instance's new incarnation; the
	// runner retries the restart if it does not appear.
	const {phase} = context.loaded.progress.members.get(id)!;
	if (phase.kind === 'taken') {
		await deps.workers.reboot(id, phase.incarnation);
	}

	return true;
};

const returnInstance = async (
	deps: ActionDeps,
	context: ActionContext,
	id: string,
): Promise<boolean> => {
	const instance = await readInstance(deps, id);
	if (!instance) {
		return false;
	}

	const {loaded, facts} = context;
	const operationId = randomUUID();
	const change = budget.returnInstance({
		operationId,
		instance,
		ledgers: deps.ledgerCache.getLedgers(),
		servicesByPool: getServicesByPool(deps.getFollowed().view),
		evidence: facts.instances.get(id)!.evidence,
		settings: loaded.progress.wave.settings.returns,
	});
	if (!change.ok) {
		return false;
	}

	const phase = {kind: 'done', at: deps.now()} as const;
	const puts: readonly Put[] = change.value.writes;
	const isCommitted = await commitInstances(deps, context, {
		id: operationId,
		instances: puts.filter((put) => isInstancePut(put)),
		also: [
			...puts.filter((put) => !isInstancePut(put)),
			createPhasesWrite(context, [id], () => phase),
		],
	});
	if (isCommitted) {
		updatePhases(context, [id], () => phase);
	}

	return isCommitted;
};

/** Counts the instance as lost instead of withdrawn. */
const markLost = async (
	deps: ActionDeps,
	context: ActionContext,
	id: string,
): Promise<boolean> => {
	const {phase, pool} = context.loaded.progress.members.get(id)!;
	if (phase.kind !== 'taken') {
		return false;
	}

	const lost = {...phase, isLost: true};
	const services = getServicesByPool(deps.getFollowed().view).get(pool) ?? [];
	const ledgers = services
		.map((service) => deps.ledgerCache.getLedgers().get(service))
		.map((ledger) => ledger && budget.convertAwayToLost(ledger, id, deps.now()))
		.filter((put) => put !== undefined);
	const row = createPhasesWrite(context, [id], () => lost);
	const isCommitted = await commitRows(deps, context, [...ledgers, row]);
	if (isCommitted) {
		updatePhases(context, [id], () => lost);
	}

	return isCommitted;
};

const finishWave = async (
	deps: ActionDeps,
	context: ActionContext,
): Promise<boolean> => {
	const {header} = context.loaded;
	const next = waves.applyWaveCommand(header.value, 'finish', deps.now());
	return next.ok
		? commitRows(deps, context, [
				waves.createWavePut(next.value, header.version),
			])
		: false;
};

const moveJob = async (
	deps: ActionDeps,
	{loaded: {progress}}: ActionContext,
	{job, from, to}: Extract<waves.WaveAction, {kind: 'move'}>,
): Promise<boolean> => {
	const {id, cores, memoryMb} = job;
	waves.updateJobMove(progress, id, {from, to: to ?? '', cores, memoryMb});
	const isMoved = await deps.jobs.move(job, from, to);
	waves.updateJobMove(progress, id, undefined);
	return isMoved;
};

/** Carries out one action; false if the rows must be reloaded. */
export const runAction = async (
	deps: ActionDeps,
	context: ActionContext,
	action: waves.WaveAction,
): Promise<boolean> => {
	switch (action.kind) {
		case 'evacuate': {
			const phase = {kind: 'evacuating', since: deps.now()} as const;
			return changePhase(deps, context, action.instances, phase);
		}

		case 'release': {
			return changePhase(deps, context, action.instances, {kind: 'pending'});
		}

		case 'skip': {
			const {reason, instances} = action;
			return changePhase(deps, context, instances, {kind: 'skipped', reason});
		}

		case 'move': {
			return moveJob(deps, context, action);
		}

		case 'take': {
			return withdraw(deps, context, action.instances);
		}

		case 'stop': {
			return stopInstance(deps, context, action.instance);
		}

		case 'return': {
			return commitTransition(deps, context, action.instance, 'startReturn');
		}

		case 'give-back': {
			return returnInstance(deps, context, action.instance);
		}

		case 'give-up': {
			return markLost(deps, context, action.instance);
		}

		case 'finish': {
			return finishWave(deps, context);
		}
	}
};
