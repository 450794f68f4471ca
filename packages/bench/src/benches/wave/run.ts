/** Runs one wave on a simulated fleet by the decisions of the core. */
import {budget, waves} from '@gullstand/core';
import {
	advanceFleet,
	fillPool,
	rebootWorker,
	removeJob,
	startJob,
	submitJob,
	type Fleet,
} from './fleet.js';
import {checkLog} from './log-checker.js';
import type {Outcome, Plan} from './plan.js';
import {isUp, type Worker} from './worker.js';

const hourMs = 3_600_000;
const maxWork = 24;
const drainMs = 20_000;
const mostDoneShare = 0.9;

type Run = {
	readonly fleet: Fleet;
	readonly plan: Plan;
	readonly progress: waves.Progress;
	readonly facts: waves.WaveFacts;
	readonly stepMs: number[];
	readonly indexMs: number;
	operations: number;
	/** Time at which nine tenths of the instances were done. */
	mostDoneAt: number | undefined;
	bufferCoreMs: number;
	emptyingCoreMs: number;
	queuedMs: number;
};

const readLedgers = ({ledgers}: Fleet, {services}: Worker) =>
	new Map(
		services.map((each) => [each, {value: ledgers.get(each)!, version: 1}]),
	);

const applyWrites = (fleet: Fleet, change: budget.BudgetChange) => {
	for (const {table, key, value} of change.writes) {
		if (table === budget.tables.ledgers) {
			fleet.ledgers.set(key, value as budget.Ledger);
		} else {
			fleet.workers.get(key)!.instance = value as Worker['instance'];
		}
	}
};

const withdrawInstances = (run: Run, ids: readonly string[]) => {
	const {fleet, progress, facts} = run;
	const workers = ids.map((id) => fleet.workers.get(id)!);
	run.operations += 1;
	const operationId = `take${run.operations}`;
	const change = budget.withdrawInstances(
		{
			operationId,
			wave: progress.wave.id,
			instances: workers.map(({instance}) => ({value: instance, version: 1})),
			ledgers: new Map(
				workers.flatMap((each) => [...readLedgers(fleet, each)]),
			),
			servicesByPool: fleet.servicesByPool,
			reserves: facts.reserves,
		},
		fleet.now,
	);
	if (!change.ok) {
		return;
	}

	applyWrites(fleet, change.value);
	const since = fleet.now;
	for (const worker of workers) {
		const {services, instance, incarnation} = worker;
		fleet.log.push({kind: 'taken', instance: instance.id, services});
		worker.drainedAt = fleet.now + drainMs;
		worker.incarnationAtTake = incarnation;
		waves.updatePhase(progress, [instance.id], {
			kind: 'taken',
			since,
			operationId,
			drainRevision: 0,
			incarnation: String(incarnation),
			isLost: false,
		});
	}
};

const logReturn = (fleet: Fleet, {instance, services}: Worker) => {
	fleet.log.push({kind: 'given-back', instance: instance.id, services});
};

const returnInstance = ({fleet, progress, facts}: Run, id: string) => {
	const worker = fleet.workers.get(id)!;
	const change = budget.returnInstance({
		operationId: `back-${id}`,
		instance: {value: worker.instance, version: 1},
		ledgers: readLedgers(fleet, worker),
		servicesByPool: fleet.servicesByPool,
		evidence: facts.instances.get(id)!.evidence,
		settings: progress.wave.settings.returns,
	});
	if (change.ok) {
		applyWrites(fleet, change.value);
		logReturn(fleet, worker);
		waves.updatePhase(progress, [id], {kind: 'done', at: fleet.now});
		fillPool(fleet, worker.instance.pool);
	}
};

const abandonInstance = ({fleet, progress}: Run, id: string) => {
	const worker = fleet.workers.get(id)!;
	for (const [service, ledger] of readLedgers(fleet, worker)) {
		const write = budget.convertAwayToLost(ledger, id, fleet.now);
		fleet.ledgers.set(service, write?.value ?? ledger.value);
	}

	const {phase} = progress.members.get(id)!;
	if (phase.kind === 'taken') {
		logReturn(fleet, worker);
		waves.updatePhase(progress, [id], {...phase, isLost: true});
	}
};

const pickAnyWorker = ({fleet, progress}: Run, from: Worker, cores: number) =>
	fleet.byPool
		.get(from.instance.pool)!
		.filter(
			(worker) =>
				isUp(worker) &&
				worker.instance.state === 'serving' &&
				waves.getPlacementAdvice(progress, worker.instance.id) !== 'never' &&
				fleet.size.cores - worker.used >= cores,
		)
		.toSorted((a, b) => a.used - b.used)[0]?.instance.id;

const applyMove = (
	run: Run,
	{job: {id, movability}, from, to}: waves.WaveAction & {kind: 'move'},
) => {
	const {fleet, plan} = run;
	const worker = fleet.workers.get(from)!;
	const job = worker.jobs.get(id);
	if (!job || !isUp(worker)) {
		return;
	}

	const ranMs = job.savedMs + fleet.now - job.startedAt;
	const savedMs = movability === 'checkpoint' ? ranMs : 0;
	const target =
		plan.targets === 'any' ? pickAnyWorker(run, worker, job.cores) : to;
	removeJob(fleet, worker, job, savedMs);
	job.hasMoved = true;
	fleet.log.push({kind: 'moved', job: id});
	if (target) {
		startJob(fleet, fleet.workers.get(target)!, job);
	} else {
		submitJob(fleet, job);
	}
};

const applyAction = (run: Run, action: waves.WaveAction) => {
	const {fleet, progress} = run;
	switch (action.kind) {
		case 'evacuate': {
			const phase = {kind: 'evacuating', since: fleet.now} as const;
			waves.updatePhase(progress, action.instances, phase);
			break;
		}

		case 'release': {
			waves.updatePhase(progress, action.instances, {kind: 'pending'});
			break;
		}

		case 'skip': {
			const {reason} = action;
			waves.updatePhase(progress, action.instances, {kind: 'skipped', reason});
			break;
		}

		case 'move': {
			applyMove(run, action);
			break;
		}

		case 'take': {
			withdrawInstances(run, action.instances);
			break;
		}

		case 'stop': {
			rebootWorker(fleet, fleet.workers.get(action.instance)!);
			break;
		}

		case 'return': {
			const worker = fleet.workers.get(action.instance)!;
			worker.instance = {...worker.instance, state: 'returning'};
			break;
		}

		case 'give-back': {
			returnInstance(run, action.instance);
			break;
		}

		case 'give-up': {
			abandonInstance(run, action.instance);
			break;
		}

		case 'finish': {
			sendCommand(run, 'finish');
			break;
		}
	}
};

const sendCommand = ({fleet, progress}: Run, name: waves.WaveCommand) => {
	const changed = waves.applyWaveCommand(progress.wave, name, fleet.now);
	progress.wave = changed.ok ? changed.value : progress.wave;
};

const applyWindow = (run: Run) => {
	const hours = run.plan.windowHours;
	if (hours) {
		const hour = (run.fleet.now / hourMs) % 24;
		const isOpen = hour >= hours[0] && hour < hours[1];
		sendCommand(run, isOpen ? 'resume' : 'pause');
	}
};

const runSteps = (run: Run) => {
	const {fleet, progress, facts} = run;
	const rounds = Math.max(
		4,
		Math.ceil(progress.activeDomains.size / maxWork) + 200,
	);
	for (let round = 0; round < rounds; round += 1) {
		const begin = performance.now();
		const context = {progress, facts, now: fleet.now};
		const actions = waves.stepWave(context, maxWork);
		run.stepMs.push(performance.now() - begin);
		for (const action of actions) {
			applyAction(run, action);
		}

		const isVisited = (round + 1) * maxWork >= progress.activeDomains.size;
		if (actions.length === 0 && isVisited) {
			break;
		}
	}
};

const addIdleTime = (run: Run) => {
	const {fleet, progress, plan} = run;
	const {tickMs} = plan;
	for (const domain of progress.activeDomains) {
		for (const {id, phase} of progress.domains.get(domain)!) {
			const {used, outages} = fleet.workers.get(id)!;
			const idleMs = outages > 0 ? 0 : (fleet.size.cores - used) * tickMs;
			if (phase.kind === 'evacuating') {
				run.emptyingCoreMs += idleMs;
			}

			if (phase.kind === 'evacuating' || phase.kind === 'taken') {
				run.bufferCoreMs += idleMs;
			}
		}
	}

	for (const waiting of fleet.waiting.values()) {
		run.queuedMs += waiting.length * tickMs;
	}
};

const createRun = (fleet: Fleet, plan: Plan): Run => {
	const instances = [...fleet.workers.values()].map(({instance}) => instance);
	const pools = [...fleet.byPool.keys()];
	const begin = performance.now();
	const rows = waves.createDomainRows('w1', pools, instances);
	const wave: waves.Wave = {
		id: 'w1',
		rows: 'w1',
		author: 'bench',
		state: 'planned',
		pools,
		settings: plan.settings,
		createdAt: fleet.now,
		startedAt: undefined,
		endedAt: undefined,
		deadline: fleet.now + plan.forMs,
		domains: rows.length,
		instances: instances.length,
	};
	const getPool = (id: string) => fleet.workers.get(id)!.instance.pool;
	const reserves = new Map(
		[...fleet.byPool].map(([pool, workers]) => [
			pool.replace('pool', 'service'),
			budget.getReserve(
				workers.map(({instance}) => instance),
				plan.settings.reserve,
			),
		]),
	);
	const {servicesByPool, ledgers} = fleet;
	const progress = waves.createProgress(wave, rows, getPool, servicesByPool);
	const indexMs = performance.now() - begin;
	return {
		fleet,
		plan,
		progress,
		facts: {instances: fleet.facts, ledgers, servicesByPool, reserves},
		stepMs: [],
		indexMs,
		operations: 0,
		mostDoneAt: undefined,
		bufferCoreMs: 0,
		emptyingCoreMs: 0,
		queuedMs: 0,
	};
};

const getOutcome = (run: Run): Outcome => {
	const {fleet, progress, stepMs} = run;
	const {wave, counts} = progress;
	const hours = ((wave.endedAt ?? fleet.now) - wave.startedAt!) / hourMs;
	return {
		...checkLog(fleet.log),
		hours,
		hoursToMost: ((run.mostDoneAt ?? fleet.now) - wave.startedAt!) / hourMs,
		days: hours / 24,
		done: counts.done,
		skipped: counts.skipped,
		bufferCoreHours: run.bufferCoreMs / hourMs,
		emptyingCoreHours: run.emptyingCoreMs / hourMs,
		repeatedCoreHours: fleet.figures.repeatedCoreHours,
		queuedJobHours: run.queuedMs / hourMs,
		unknownJobs: fleet.figures.unknownJobs,
		stepMs,
		indexMs: run.indexMs,
	};
};

/** Warms up the fleet, runs the wave to its end and checks the log. */
export const runWave = (fleet: Fleet, plan: Plan): Outcome => {
	advanceFleet(fleet, plan.startAt);
	fleet.figures.repeatedCoreHours = 0;
	fleet.figures.unknownJobs = 0;
	const run = createRun(fleet, plan);
	const {progress} = run;
	if (plan.targets === 'done') {
		fleet.getAdvice = (id, hasMoved) =>
			waves.getPlacementAdvice(progress, id, hasMoved);
	} else {
		fleet.getAdvice = (id) =>
			waves.getPlacementAdvice(progress, id) === 'never' ? 'never' : 'good';
	}

	sendCommand(run, 'start');
	const latest = plan.startAt + plan.forMs + 24 * hourMs;
	while (progress.wave.state !== 'done' && fleet.now < latest) {
		applyWindow(run);
		if (progress.wave.state === 'running' || progress.activeDomains.size > 0) {
			runSteps(run);
		}

		addIdleTime(run);
		if (progress.counts.done >= mostDoneShare * progress.wave.instances) {
			run.mostDoneAt ??= fleet.now;
		}

		advanceFleet(fleet, fleet.now + plan.tickMs);
	}

	return getOutcome(run);
};
