/**
 * One step of a wave: looks at a bounded number of racks and returns what to
 * do. Calling it again after the actions are done goes on with the rest, so
 * no step holds the event loop however large the fleet is.
 */
import {findReturnBlocker} from '../budget/return-instance.js';
import type {WaveAction} from './action.js';
import {createAllowance, isLostInLedger} from './allowance.js';
import {chooseDomain} from './choose-domain.js';
import {planEvacuation} from './evacuation.js';
import type {WaveContext} from './context.js';
import type {Member, Progress} from './progress.js';
import {pickTarget} from './targets.js';

const canBegin = ({progress, now}: WaveContext): boolean =>
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

/** Evacuating members of a rack that must give way, and why. */
const getInterrupted = (
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

/** Takes what is empty: the whole part, or what the budgets allow of it. */
const getTake = (
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
	const isPartWanted = progress.wave.settings.domains === 'prefer-whole';
	if (allowed.length === 0 || (!isWhole && !isPartWanted)) {
		return undefined;
	}

	return {kind: 'take', domain, instances: allowed.map(({id}) => id)};
};

/** What one taken member needs next, by the state of its row. */
const getTakenAction = (
	{progress, facts, now}: WaveContext,
	{id, phase}: Member,
): WaveAction | undefined => {
	const instance = facts.instances.get(id);
	if (instance === undefined || phase.kind !== 'taken') {
		return undefined;
	}

	const {returns, returnWithinMs} = progress.wave.settings;
	const missing = findReturnBlocker(instance.evidence, returns);
	if (instance.state === 'returning' && missing === undefined) {
		return {kind: 'give-back', instance: id};
	}

	if (instance.state === 'draining') {
		return instance.isDrained ? {kind: 'stop', instance: id} : undefined;
	}

	const isBack = missing === undefined || missing === 'not-proved';
	if (instance.state === 'away' && isBack) {
		return {kind: 'return', instance: id};
	}

	return !phase.isLost && now - phase.since > returnWithinMs
		? {kind: 'give-up', instance: id}
		: undefined;
};

/** Members that the deadline finds lost: the wave ends without them. */
const getLate = (
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

/** Everything that one active rack needs now. */
const getDomainActions = (
	context: WaveContext,
	domain: string,
): readonly WaveAction[] => {
	const members = context.progress.domains.get(domain) ?? [];
	const actions = members
		.map((member) => getTakenAction(context, member))
		.filter((action) => action !== undefined);
	const late = getLate(context, domain, members);
	if (late) {
		return [...actions, late];
	}

	const evacuating = members.filter(({phase}) => phase.kind === 'evacuating');
	if (evacuating.length === 0) {
		return actions;
	}

	const interrupted = getInterrupted(context, domain, evacuating);
	if (interrupted) {
		return [...actions, interrupted];
	}

	const moves = evacuating.flatMap((member) => getMoves(context, member));
	const take = getTake(context, domain, evacuating);
	return take ? [...actions, ...moves, take] : [...actions, ...moves];
};

/** Looks at up to `maxDomains` active racks, in turn. */
const visitActive = (
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

/** Begins the next rack, or leaves one out after the deadline. */
const getNext = (
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

	if (!canBegin(context) || !hasRoomForMore(progress)) {
		return undefined;
	}

	const choice = chooseDomain(context, window);
	const room = wave.settings.maxInstances - counts.evacuating - counts.taken;
	return choice
		? {
				kind: 'evacuate',
				domain: choice.domain,
				instances: choice.instances.slice(0, room),
			}
		: undefined;
};

/**
 * Decides what comes next. `maxWork` bounds the racks looked at: active ones
 * first, then candidates.
 */
export const stepWave = (
	context: WaveContext,
	maxWork: number,
): readonly WaveAction[] => {
	const {pendingDomains, activeDomains, wave} = context.progress;
	const actions = [...visitActive(context, maxWork)];
	const next = getNext(context, Math.min(wave.settings.window, maxWork));
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
