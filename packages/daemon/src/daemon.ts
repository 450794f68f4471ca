/** Builds the parts of one entry as a supervisor tree. */
import * as core from '@gullstand/core';
import type {
	InstanceList,
	ObjectStore,
	TableService,
	Workers,
} from '@gullstand/ports';
import {createAdmissionLayer} from './admission/admission-layer.js';
import {createEntryShare, createSlotShare} from './admission/entry-share.js';
import {
	agreementDefaults,
	fleetShard,
	createAgreement,
	type Agreement,
	type AgreementTimes,
} from './agreement/agreement.js';
import {createCallerApp} from './caller/caller-app.js';
import {createSweeper} from './idempotency/sweeper.js';
import {
	createSystemClock,
	systemRandomness,
} from './idempotency/system-clock.js';
import {createAtMostOnceCalls} from './idempotency/at-most-once-calls.js';
import {
	getGroupSettings,
	getDecisionSettings,
} from './idempotency/idempotency-settings.js';
import {createListener} from './http/listener.js';
import type {JobDaemon} from './jobs/job-daemon.js';
import type {Logger} from './log/logger.js';
import {createIsolationLayer} from './membership/isolation-layer.js';
import {createMetrics, type Metrics} from './metrics/metrics.js';
import {createOperatorApp} from './operator/operator-app.js';
import type {Settings} from './settings/schema.js';
import {createSupervisor, type Part} from './supervisor/supervisor.js';
import {createUpstreamDispatch} from './upstream/upstream-dispatch.js';
import {defaultUpstreamConfig} from './upstream/types.js';
import {createEnvironment} from './view/environment.js';
import type {ViewFollower} from './view/view-follower.js';
import {createWaveRunner} from './waves/wave-runner.js';

/** Platform services that an entry uses. */
export type Platform = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly list: InstanceList;
	readonly workers: Workers;
};

/** Dependencies of a daemon. */
export type DaemonDeps = {
	readonly settings: Settings;
	readonly platform: Platform;
	readonly logger: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Runs jobs, with handlers in the operators' API; absent if disabled. */
	readonly jobs?: JobDaemon;
	/** Periods and limits of the agreement between entries. */
	readonly agreementTimes?: AgreementTimes;
};

/** A running entry. */
export type Daemon = {
	/** Resolves once the entry serves; reports later failures. */
	readonly start: (reportFailure: (err: Error) => void) => Promise<void>;
	/** Stops gracefully within `stop.deadlineMs` of the settings. */
	readonly stop: () => Promise<void>;
	readonly getCallerPort: () => number;
	readonly getOperatorPort: () => number;
	readonly metrics: Metrics;
	readonly agreement: Agreement;
};

const wavePollMs = 250;

/** Most entries that connect to one executor, also during a replacement. */
const entriesSharingConnections = 9;

const delay = async (ms: number) =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, ms);
	});

const operatorLimits = {
	maxHeaderBytes: 16_384,
	headersTimeoutMs: 5000,
	requestTimeoutMs: 60_000,
	maxConnections: 256,
} as const;

/** True if a view is known; the view of an empty store counts. */
const hasView = (follower: ViewFollower): boolean =>
	follower.getOrigin() !== 'none' ||
	follower.getCondition().kind === 'following';

const createJobsPart = (jobs: JobDaemon): Part => ({
	name: 'jobs',
	start: jobs.start,
	async stop() {
		await jobs.stop();
	},
});

/** Creates a daemon without starting it. */
export const createDaemon = (deps: DaemonDeps): Daemon => {
	const {settings, platform, logger, now} = deps;
	const metrics = createMetrics();
	let isStopping = false;

	const agreement = createAgreement({
		settings,
		platform,
		times: deps.agreementTimes ?? agreementDefaults,
		logger,
		now,
		route(view) {
			dispatch.applyView(view);
		},
	});
	const {follower, member, leases, inFlight} = agreement;
	const {getView, getFollowed, poll} = follower;
	const {connectTimeoutMs, idleConnectionMs, maxAnswerBytes} =
		settings.upstream;
	const {reuse, ...upstreamConfig} = defaultUpstreamConfig;
	const dispatch = createUpstreamDispatch({
		getView,
		now,
		random: Math.random,
		entries: entriesSharingConnections,
		mayRoute: member.mayRoute,
		wrapTakeSlot: inFlight.wrap,
		cfg: {
			...upstreamConfig,
			connectTimeoutMs,
			reuse: {...reuse, maxIdleMs: idleConnectionMs},
			maxBufferedBytes: maxAnswerBytes,
		},
	});
	const upstreamPart: Part = {
		name: 'upstream',
		async start() {
			// Connections are opened on demand.
		},
		stop: async () => dispatch.close(),
	};
	const entryShare = createEntryShare(platform.list, entriesSharingConnections);
	const getSlotShare = createSlotShare({
		getView,
		getShare: entryShare.getShare,
		entriesSharingConnections,
	});
	const admission = createAdmissionLayer({
		getView,
		now,
		settings: settings.admission,
		getShare: entryShare.getShare,
		getSlots: getSlotShare,
	});
	const idempotentCalls = createAtMostOnceCalls({
		tables: platform.table,
		objects: platform.objects,
		entry: settings.entry.id,
		incarnation: agreement.self.incarnation,
		settings: getDecisionSettings(settings.idempotency),
		groupSettings: getGroupSettings(settings.idempotency),
		maxAttempts: settings.idempotency.maxAttempts,
		now,
	});
	const keySweeper = createSweeper({
		tables: platform.table,
		objects: platform.objects,
		clock: createSystemClock(now),
		randomness: systemRandomness,
		clockSkewMs: settings.idempotency.clockSkewMs,
		settings: core.idempotency.defaultSweepSettings,
	});
	const isolationLayer = createIsolationLayer({
		member,
		retryAfterMs: (deps.agreementTimes ?? agreementDefaults).heartbeatMs,
		now,
	});
	const callerListener = createListener(
		'caller',
		settings.caller,
		createCallerApp({
			settings: settings.caller,
			getView,
			handle: idempotentCalls.layer(
				isolationLayer(admission.layer(dispatch.handle)),
			),
			now,
			logger,
			metrics,
			isStopping: () => isStopping,
		}).fetch,
		now,
	);
	const operatorListener = createListener(
		'operator',
		{...settings.operator, ...operatorLimits},
		createOperatorApp({
			settings: settings.operator,
			table: platform.table,
			list: platform.list,
			getView,
			getFollowed,
			getFollowState: () => ({
				origin: follower.getOrigin(),
				condition: follower.getCondition(),
			}),
			poll,
			async onCommitted(delta) {
				member.announce(delta);
			},
			getReceivedAcknowledgements: member.getReceivedAcknowledgements,
			env: createEnvironment(),
			...(deps.jobs ? {jobs: deps.jobs} : {}),
			now,
			metrics,
			logger,
			isReady: () => !isStopping && hasView(follower) && member.mayRoute(),
		}).fetch,
		now,
	);
	const waveRunner = createWaveRunner({
		...platform,
		getFollowed,
		async onCommitted(delta) {
			member.announce(delta);
		},
		poll,
		getInFlight: inFlight.count,
		getReceivedAcknowledgements: member.getReceivedAcknowledgements,
		readOutageStart: agreement.readOutageStart,
		isHolder: () => leases.getHeld(fleetShard) !== undefined,
		getGuards() {
			const held = leases.getHeld(fleetShard);
			return held ? core.shardLease.guardWithLease(held, []) : [];
		},
		now: Date.now,
		logger,
		pollMs: wavePollMs,
	});
	const supervisor = createSupervisor(
		'daemon',
		[
			...agreement.parts,
			upstreamPart,
			entryShare,
			idempotentCalls.part,
			keySweeper,
			...(deps.jobs ? [createJobsPart(deps.jobs)] : []),
			operatorListener,
			waveRunner,
			callerListener,
		],
		{
			now,
			delay,
			onRestart(part, err) {
				logger.warn('part restarted', {part, error: err.message});
			},
		},
	);

	const stop = async () => {
		isStopping = true;
		const deadline = now() + settings.stop.deadlineMs;
		logger.info('stopping', {deadlineMs: settings.stop.deadlineMs});
		await delay(settings.stop.readinessDelayMs);
		await supervisor.stop(deadline);
		logger.info('stopped');
	};

	return {
		async start(reportFailure) {
			await supervisor.start(reportFailure);
			logger.info('serving', {
				callerPort: callerListener.getPort(),
				operatorPort: operatorListener.getPort(),
			});
		},
		stop,
		getCallerPort: callerListener.getPort,
		getOperatorPort: operatorListener.getPort,
		metrics,
		agreement,
	};
};
