/**
 * The working index of a wave, built from its rows and kept in step with
 * them: `updatePhase` and `updateMove` are called after a commit. It is the
 * one thing here that is changed in place, so that a step costs no copy of
 * 3,300 instances. Losing it loses nothing: the rows hold the truth.
 */
import type {ServicesByPool} from '../budget/ledger.js';
import type {MemberPhase, Wave, WaveDomain} from './wave.js';

/** One instance of a wave. */
export type Member = {
	readonly id: string;
	readonly domain: string;
	readonly pool: string;
	phase: MemberPhase;
};

/** A job on its way to another worker. */
export type JobMove = {
	readonly from: string;
	/** Empty while no worker has room: the job is held at its checkpoint. */
	readonly to: string;
	readonly cores: number;
	readonly memoryMb: number;
};

/** The index. Only the functions of this file change it. */
export type Progress = {
	wave: Wave;
	readonly members: Map<string, Member>;
	readonly domains: Map<string, readonly Member[]>;
	/** Racks with a pending member; by name if zones go one after another. */
	readonly pendingDomains: string[];
	/** Racks with a member that is evacuating or taken. */
	readonly activeDomains: Set<string>;
	/** Members evacuating, by service: they have a claim on its budget. */
	readonly claims: Map<string, number>;
	/** Members of each pool. */
	readonly sizes: Map<string, number>;
	/** Members evacuating or taken, by pool. */
	readonly activeByPool: Map<string, number>;
	/** Members neither done nor skipped, by pool. */
	readonly remainingByPool: Map<string, number>;
	/** Time of the last change of a phase, by pool. */
	readonly changedAt: Map<string, number>;
	/** Members done, by pool: where jobs may go. */
	readonly doneByPool: Map<string, string[]>;
	readonly jobMoves: Map<string, JobMove>;
	/** Room that jobs on their way were promised, by worker. */
	readonly reservedByWorker: Map<string, {cores: number; memoryMb: number}>;
	/** Members by kind of phase. */
	readonly counts: Record<MemberPhase['kind'], number>;
	readonly servicesByPool: ServicesByPool;
	/** Where the next step goes on. */
	cursors: {active: number; pending: number};
};

const addTo = (map: Map<string, number>, key: string, change: number) => {
	map.set(key, (map.get(key) ?? 0) + change);
};

const isOpen = ({kind}: MemberPhase) => kind !== 'done' && kind !== 'skipped';

/** Counts a member in or out of the index by its phase. */
const countMember = (progress: Progress, member: Member, change: 1 | -1) => {
	const {phase, pool} = member;
	progress.counts[phase.kind] += change;
	const changedAt = progress.changedAt.get(pool) ?? 0;
	progress.changedAt.set(pool, Math.max(changedAt, getChangeTime(phase)));
	if (isOpen(phase)) {
		addTo(progress.remainingByPool, pool, change);
	}

	if (phase.kind === 'evacuating' || phase.kind === 'taken') {
		addTo(progress.activeByPool, pool, change);
	}

	if (phase.kind === 'evacuating') {
		for (const service of progress.servicesByPool.get(pool) ?? []) {
			addTo(progress.claims, service, change);
		}
	}

	if (phase.kind === 'done' && change === 1) {
		const done = progress.doneByPool.get(pool) ?? [];
		done.push(member.id);
		progress.doneByPool.set(pool, done);
	}
};

/** Puts a rack on the lists that its members' phases ask for. */
const listDomain = (progress: Progress, domain: string) => {
	const members = progress.domains.get(domain) ?? [];
	const isActive = members.some(
		({phase}) => phase.kind === 'evacuating' || phase.kind === 'taken',
	);
	const isPending = members.some(({phase}) => phase.kind === 'pending');
	if (isActive) {
		progress.activeDomains.add(domain);
	} else {
		progress.activeDomains.delete(domain);
	}

	const index = progress.pendingDomains.indexOf(domain);
	if (isPending && index === -1) {
		progress.pendingDomains.push(domain);
		if (progress.wave.settings.order === 'by-availability-zone') {
			progress.pendingDomains.sort();
		}
	} else if (!isPending && index !== -1) {
		progress.pendingDomains.splice(index, 1);
	}
};

/**
 * Builds the index from a wave's rows. An instance that has left the pools
 * since is passed over by the step, which sees it in the facts.
 */
export const createProgress = (
	wave: Wave,
	rows: Iterable<WaveDomain>,
	poolOf: (instanceId: string) => string,
	servicesByPool: ServicesByPool,
): Progress => {
	const progress: Progress = {
		wave,
		members: new Map(),
		domains: new Map(),
		pendingDomains: [],
		activeDomains: new Set(),
		claims: new Map(),
		sizes: new Map(),
		activeByPool: new Map(),
		remainingByPool: new Map(),
		changedAt: new Map(),
		doneByPool: new Map(),
		jobMoves: new Map(),
		reservedByWorker: new Map(),
		counts: {pending: 0, evacuating: 0, taken: 0, done: 0, skipped: 0},
		servicesByPool,
		cursors: {active: 0, pending: 0},
	};
	for (const {domain, members} of rows) {
		const list = Object.entries(members).map(([id, phase]) => ({
			id,
			domain,
			phase,
			pool: poolOf(id),
		}));
		progress.domains.set(domain, list);
		for (const member of list) {
			progress.members.set(member.id, member);
			addTo(progress.sizes, member.pool, 1);
			countMember(progress, member, 1);
		}

		listDomain(progress, domain);
	}

	return progress;
};

const getChangeTime = (phase: MemberPhase): number => {
	switch (phase.kind) {
		case 'evacuating':
		case 'taken': {
			return phase.since;
		}

		case 'done': {
			return phase.at;
		}

		case 'pending':
		case 'skipped': {
			return 0;
		}
	}
};

/** Follows a committed change of phase. */
export const updatePhase = (
	progress: Progress,
	instanceIds: readonly string[],
	phase: MemberPhase,
): void => {
	const domains = new Set<string>();
	for (const id of instanceIds) {
		const member = progress.members.get(id);
		if (member) {
			countMember(progress, member, -1);
			member.phase = phase;
			countMember(progress, member, 1);
			domains.add(member.domain);
		}
	}

	for (const domain of domains) {
		listDomain(progress, domain);
	}
};

const updatePromise = (
	progress: Progress,
	{to, cores, memoryMb}: JobMove,
	change: 1 | -1,
) => {
	const promised = progress.reservedByWorker.get(to) ?? {cores: 0, memoryMb: 0};
	promised.cores += change * cores;
	promised.memoryMb += change * memoryMb;
	progress.reservedByWorker.set(to, promised);
};

/** Notes a job on its way, or with `undefined` that it has ended or arrived. */
export const updateJobMove = (
	progress: Progress,
	jobId: string,
	moving: JobMove | undefined,
): void => {
	const before = progress.jobMoves.get(jobId);
	if (before) {
		updatePromise(progress, before, -1);
		progress.jobMoves.delete(jobId);
	}

	if (moving) {
		updatePromise(progress, moving, 1);
		progress.jobMoves.set(jobId, moving);
	}
};
