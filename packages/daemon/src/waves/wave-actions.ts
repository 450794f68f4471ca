/**
 * Carries out the actions that the core decides. Each is one transaction of
 * all rows that it touches, conditional on what was read: a daemon that is
 * killed between two, or was paused, leaves nothing half done. Nothing is
 * announced (no drain, no restart) before its commit is certain.
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

const putPhases = (
	{loaded}: ActionContext,
	ids: readonly string[],
	getPhase: (id: string) => waves.MemberPhase,
): budget.RowPut<waves.WaveDomain> => {
	const {domain} = loaded.progress.members.get(ids[0]!)!;
	const phases = Object.fromEntries(ids.map((id) => [id, getPhase(id)]));
	return waves.createPhasesPut(loaded.rows.get(domain)!, phases);
};

const notePhases = (
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
	command: ActionContext,
	ids: readonly string[],
	phase: waves.MemberPhase,
): Promise<boolean> => {
	const put = putPhases(command, ids, () => phase);
	const isDone = await commitRows(deps, command, [put]);
	if (isDone) {
		notePhases(command, ids, () => phase);
	}

	return isDone;
};

/**
 * Books a rack in its ledgers and makes it drain. It commits only if nothing
 * has changed since the view by which the ledgers were found in step, so that
 * no contract is judged by older terms.
 */
const take = async (
	deps: ActionDeps,
	command: ActionContext,
	ids: readonly string[],
): Promise<boolean> => {
	const instances = await readInstances(deps, ids);
	if (!instances) {
		return false;
	}

	const {loaded, listed, facts} = command;
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
	const isDone = await commitInstances(deps, command, {
		id: operationId,
		instances: puts.filter((put) => isInstancePut(put)),
		also: [
			...puts.filter((put) => !isInstancePut(put)),
			putPhases(command, ids, getPhase),
		],
		newest: followed,
	});
	if (isDone) {
		notePhases(command, ids, getPhase);
	}

	return isDone;
};

/** Commits one transition of one instance, and nothing else. */
const transition = async (
	deps: ActionDeps,
	command: ActionContext,
	id: string,
	name: 'finishDrain' | 'startReturn',
): Promise<boolean> => {
	const instance = await readInstance(deps, id);
	const put = instance && budget.createTransitionPut(instance, name);
	return put
		? commitInstances(deps, command, {
				id: randomUUID(),
				instances: [put],
				also: [],
				guards: name === 'finishDrain' ? command.drainGuards : [],
			})
		: false;
};

const stop = async (deps: ActionDeps, command: ActionContext, id: string) => {
	if (!(await transition(deps, command, id, 'finishDrain'))) {
		return false;
	}

	// A reply that is lost is seen by the instance's new life in the list; the
	// runner asks again if it does not come.
	const {phase} = command.loaded.progress.members.get(id)!;
	if (phase.kind === 'taken') {
		await deps.workers.reboot(id, phase.incarnation);
	}

	return true;
};

const giveBack = async (
	deps: ActionDeps,
	command: ActionContext,
	id: string,
): Promise<boolean> => {
	const instance = await readInstance(deps, id);
	if (!instance) {
		return false;
	}

	const {loaded, facts} = command;
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
	const isDone = await commitInstances(deps, command, {
		id: operationId,
		instances: puts.filter((put) => isInstancePut(put)),
		also: [
			...puts.filter((put) => !isInstancePut(put)),
			putPhases(command, [id], () => phase),
		],
	});
	if (isDone) {
		notePhases(command, [id], () => phase);
	}

	return isDone;
};

/** From now on the instance counts as lost, not as taken. */
const giveUp = async (
	deps: ActionDeps,
	command: ActionContext,
	id: string,
): Promise<boolean> => {
	const {phase, pool} = command.loaded.progress.members.get(id)!;
	if (phase.kind !== 'taken') {
		return false;
	}

	const lost = {...phase, isLost: true};
	const services = getServicesByPool(deps.getFollowed().view).get(pool) ?? [];
	const ledgers = services
		.map((service) => deps.ledgerCache.getLedgers().get(service))
		.map((ledger) => ledger && budget.convertAwayToLost(ledger, id, deps.now()))
		.filter((put) => put !== undefined);
	const row = putPhases(command, [id], () => lost);
	const isDone = await commitRows(deps, command, [...ledgers, row]);
	if (isDone) {
		notePhases(command, [id], () => lost);
	}

	return isDone;
};

const finish = async (
	deps: ActionDeps,
	command: ActionContext,
): Promise<boolean> => {
	const {header} = command.loaded;
	const next = waves.applyWaveCommand(header.value, 'finish', deps.now());
	return next.ok
		? commitRows(deps, command, [
				waves.createWavePut(next.value, header.version),
			])
		: false;
};

const move = async (
	deps: ActionDeps,
	{loaded: {progress}}: ActionContext,
	{job, from, to}: Extract<waves.WaveAction, {kind: 'move'}>,
): Promise<boolean> => {
	const {id, cores, memoryMb} = job;
	waves.updateJobMove(progress, id, {from, to: to ?? '', cores, memoryMb});
	const isDone = await deps.jobs.move(job, from, to);
	waves.updateJobMove(progress, id, undefined);
	return isDone;
};

/** Carries out one action; false if the rows must be read anew. */
export const runAction = async (
	deps: ActionDeps,
	command: ActionContext,
	action: waves.WaveAction,
): Promise<boolean> => {
	switch (action.kind) {
		case 'evacuate': {
			const phase = {kind: 'evacuating', since: deps.now()} as const;
			return changePhase(deps, command, action.instances, phase);
		}

		case 'release': {
			return changePhase(deps, command, action.instances, {kind: 'pending'});
		}

		case 'skip': {
			const {reason, instances} = action;
			return changePhase(deps, command, instances, {kind: 'skipped', reason});
		}

		case 'move': {
			return move(deps, command, action);
		}

		case 'take': {
			return take(deps, command, action.instances);
		}

		case 'stop': {
			return stop(deps, command, action.instance);
		}

		case 'return': {
			return transition(deps, command, action.instance, 'startReturn');
		}

		case 'give-back': {
			return giveBack(deps, command, action.instance);
		}

		case 'give-up': {
			return giveUp(deps, command, action.instance);
		}

		case 'finish': {
			return finish(deps, command);
		}
	}
};
