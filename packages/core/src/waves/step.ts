/**
 * One step of a wave: examines a bounded number of racks and returns the
 * actions to take. The next call continues with the remaining racks, so that no
 * call blocks the event loop for long in a large fleet.
 */
import {findReturnBlocker} from '../budget/return-instance.js';
import type {WaveAction} from './action.js';
import {createAllowance, isLostInLedger} from './allowance.js';
import {chooseDomain} from './choose-domain.js';
import {planEvacuation} from './evacuation.js';
import type {WaveContext} from './context.js';
import type {Member, Progress} from './progress.js';
import {pickTarget} from './targets.js';

const mayEvacuate = ({progress, now}: WaveContext): boolean =>
	progress.wave.state === 'running' && now < progress.wave.deadline;

const getMoves = (
	context: WaveContext,
	member: Member,
): readonly WaveAction[] => {
	const {progress, facts, now} = context;
	const instance = facts.instances.get(member.id);
	if (member.phase.kind !== 'evacuating' || instance === undefined) {
		return [];
	}

	const {settings, deadline} = progress.wave;
	const {moves} = planEvacuation({
		cores: instance.cores,
		jobs: instance.jobs,
		weights: settings.weights,
		waitedMs: now - member.phase.since,
		untilDeadlineMs: deadline - now - settings.cycleMs,
	});
	return moves
		.filter(({id}) => !progress.jobMoves.has(id))
		.map((job) => ({
			kind: 'move',
			job,
			from: member.id,
			to: pickTarget(context, member.pool, job),
		}));
};

/**
 * Action for evacuating members whose evacuation must stop: skip after the
 * deadline, release if the wave is not running or the instance no longer
 * serves.
 */
const getInterruption = (
	{progress, facts, now}: WaveContext,
	domain: string,
	evacuating: readonly Member[],
): WaveAction | undefined => {
	const {state, deadline} = progress.wave;
	if (state === 'running' && now >= deadline) {
		const instances = evacuating.map(({id}) => id);
		return {kind: 'skip', domain, instances, reason: 'deadline'};
	}

	const instances = evacuating
		.map(({id}) => id)
		.filter((id) => {
			const instance = facts.instances.get(id);
			return (
				state !== 'running' ||
				instance?.state !== 'serving' ||
				isLostInLedger(instance, facts)
			);
		});
	return instances.length > 0
		? {kind: 'release', domain, instances}
		: undefined;
};

/**
 * Withdraws the evacuating members if all are empty and the budgets allow them;
 * with `prefer-whole` also a part of them.
 */
const getWithdrawal = (
	{progress, facts}: WaveContext,
	domain: string,
	evacuating: readonly Member[],
): WaveAction | undefined => {
	const empty = evacuating.filter(
		({id}) => facts.instances.get(id)?.jobs.length === 0,
	);
	const allowance = createAllowance(progress, facts, false);
	const allowed = empty.filter(({pool}) => allowance.tryReserve(pool));
	const isWhole = allowed.length === evacuating.length;
	const mayBePartial = progress.wave.settings.domains === 'prefer-whole';
	if (allowed.length === 0 || (!isWhole && !mayBePartial)) {
		return undefined;
	}

	return {kind: 'take', domain, instances: allowed.map(({id}) => id)};
};

/** Next action for one withdrawn member, by the state of its instance row. */
const getWithdrawnAction = (
	{progress, facts, now}: WaveContext,
	{id, phase}: Member,
): WaveAction | undefined => {
	const instance = facts.instances.get(id);
	if (instance === undefined || phase.kind !== 'taken') {
		return undefined;
	}

	const {returns, returnWithinMs} = progress.wave.settings;
	const blocker = findReturnBlocker(instance.evidence, returns);
	if (instance.state === 'returning' && blocker === undefined) {
		return {kind: 'give-back', instance: id};
	}

	if (instance.state === 'draining') {
		return instance.isDrained ? {kind: 'stop', instance: id} : undefined;
	}

	const hasReturned = blocker === undefined || blocker === 'not-proved';
	if (instance.state === 'away' && hasReturned) {
		return {kind: 'return', instance: id};
	}

	return !phase.isLost && now - phase.since > returnWithinMs
		? {kind: 'give-up', instance: id}
		: undefined;
};

/**
 * Skips members that are lost when the deadline passes, so that the wave can
 * finish.
 */
const getLostSkip = (
	{progress, now}: WaveContext,
	domain: string,
	members: readonly Member[],
): WaveAction | undefined => {
	const instances = members
		.filter(({phase}) => phase.kind === 'taken' && phase.isLost)
		.map(({id}) => id);
	return now >= progress.wave.deadline && instances.length > 0
		? {kind: 'skip', domain, instances, reason: 'did-not-return'}
		: undefined;
};

/** All actions that one active rack needs now. */
const getDomainActions = (
	context: WaveContext,
	domain: string,
): readonly WaveAction[] => {
	const members = context.progress.domains.get(domain) ?? [];
	const actions = members
		.map((member) => getWithdrawnAction(context, member))
		.filter((action) => action !== undefined);
	const lostSkip = getLostSkip(context, domain, members);
	if (lostSkip) {
		return [...actions, lostSkip];
	}

	const evacuating = members.filter(({phase}) => phase.kind === 'evacuating');
	if (evacuating.length === 0) {
		return actions;
	}

	const interruption = getInterruption(context, domain, evacuating);
	if (interruption) {
		return [...actions, interruption];
	}

	const moves = evacuating.flatMap((member) => getMoves(context, member));
	const withdrawal = getWithdrawal(context, domain, evacuating);
	return withdrawal
		? [...actions, ...moves, withdrawal]
		: [...actions, ...moves];
};

/** Collects the actions of up to `maxDomains` active racks, round robin. */
const getActiveActions = (
	context: WaveContext,
	maxDomains: number,
): readonly WaveAction[] => {
	const {activeDomains, cursors} = context.progress;
	const domains = [...activeDomains];
	const size = Math.min(maxDomains, domains.length);
	const actions: WaveAction[] = [];
	for (let step = 0; step < size; step += 1) {
		const domain = domains[(cursors.active + step) % domains.length]!;
		actions.push(...getDomainActions(context, domain));
	}

	cursors.active += size;
	return actions;
};

const hasRoomForMore = ({wave, counts, activeDomains}: Progress): boolean =>
	counts.evacuating + counts.taken < wave.settings.maxInstances &&
	activeDomains.size < wave.settings.maxDomains;

/**
 * Starts the evacuation of the next rack; after the deadline, skips the pending
 * members of one rack.
 */
const getNextAction = (
	context: WaveContext,
	window: number,
): WaveAction | undefined => {
	const {progress, now} = context;
	const {wave, pendingDomains, counts, domains} = progress;
	const [first] = pendingDomains;
	if (wave.state === 'running' && now >= wave.deadline && first) {
		const instances = (domains.get(first) ?? [])
			.filter(({phase}) => phase.kind === 'pending')
			.map(({id}) => id);
		return {kind: 'skip', domain: first, instances, reason: 'deadline'};
	}

	if (!mayEvacuate(context) || !hasRoomForMore(progress)) {
		return undefined;
	}

	const choice = chooseDomain(context, window);
	const limit = wave.settings.maxInstances - counts.evacuating - counts.taken;
	return choice
		? {
				kind: 'evacuate',
				domain: choice.domain,
				instances: choice.instances.slice(0, limit),
			}
		: undefined;
};

/**
 * Decides the next actions of a wave. `maxWork` bounds the racks examined:
 * active racks first, then candidates.
 */
export const stepWave = (
	context: WaveContext,
	maxWork: number,
): readonly WaveAction[] => {
	const {pendingDomains, activeDomains, wave} = context.progress;
	const actions = [...getActiveActions(context, maxWork)];
	const next = getNextAction(context, Math.min(wave.settings.window, maxWork));
	if (next) {
		actions.push(next);
	}

	if (
		wave.state === 'running' &&
		pendingDomains.length + activeDomains.size === 0
	) {
		actions.push({kind: 'finish'});
	}

	return actions;
};
