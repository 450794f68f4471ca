/**
 * In-memory index of a wave, built from its rows. `updatePhase` is called after
 * each commit and `updateJobMove` around each job move. The index is mutable so
 * that a step need not copy thousands of instances; it can always be rebuilt
 * from the rows.
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

/** A move of a job to another worker that is in progress. */
export type JobMove = {
	readonly from: string;
	/** Empty while no worker has room and the job is held at its checkpoint. */
	readonly to: string;
	readonly cores: number;
	readonly memoryMb: number;
};

/** The index. Only the functions of this file change it. */
export type Progress = {
	wave: Wave;
	readonly members: Map<string, Member>;
	readonly domains: Map<string, readonly Member[]>;
	/**
	 * Racks with a pending member; sorted by name with the order
	 * `by-availability-zone`.
	 */
	readonly pendingDomains: string[];
	/** Racks with an evacuating or withdrawn member. */
	readonly activeDomains: Set<string>;
	/** Evacuating members by service; each has a claim on its budget. */
	readonly claims: Map<string, number>;
	/** Number of members, by pool. */
	readonly sizes: Map<string, number>;
	/** Number of evacuating or withdrawn members, by pool. */
	readonly activeByPool: Map<string, number>;
	/** Number of members that are neither done nor skipped, by pool. */
	readonly remainingByPool: Map<string, number>;
	/** Time of the latest change of phase, by pool. */
	readonly changedAt: Map<string, number>;
	/** Ids of maintained members by pool; jobs may move to them. */
	readonly doneByPool: Map<string, string[]>;
	/** Moves in progress, by job. */
	readonly jobMoves: Map<string, JobMove>;
	/** Resources reserved for moves in progress, by target worker. */
	readonly reservedByWorker: Map<string, {cores: number; memoryMb: number}>;
	/** Number of members, by kind of phase. */
	readonly counts: Record<MemberPhase['kind'], number>;
	readonly servicesByPool: ServicesByPool;
	/** Positions at which the next step resumes. */
	cursors: {active: number; pending: number};
};

const addTo = (map: Map<string, number>, key: string, change: number) => {
	map.set(key, (map.get(key) ?? 0) + change);
};

const isUnfinished = ({kind}: MemberPhase) =>
	kind !== 'done' && kind !== 'skipped';

/** Adds a member to the counters of its phase, or removes it. */
const countMember = (progress: Progress, member: Member, change: 1 | -1) => {
	const {phase, pool} = member;
	progress.counts[phase.kind] += change;
	const changedAt = progress.changedAt.get(pool) ?? 0;
	progress.changedAt.set(pool, Math.max(changedAt, getChangeTime(phase)));
	if (isUnfinished(phase)) {
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

/** Updates the membership of a rack in `pendingDomains` and `activeDomains`. */
const updateDomainLists = (progress: Progress, domain: string) => {
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
 * Builds the index from the rows of a wave. Steps ignore instances that have
 * since left the pools.
 */
export const createProgress = (
	wave: Wave,
	rows: Iterable<WaveDomain>,
	getPool: (instanceId: string) => string,
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
			pool: getPool(id),
		}));
		progress.domains.set(domain, list);
		for (const member of list) {
			progress.members.set(member.id, member);
			addTo(progress.sizes, member.pool, 1);
			countMember(progress, member, 1);
		}

		updateDomainLists(progress, domain);
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

/** Applies a committed change of phase. */
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
		updateDomainLists(progress, domain);
	}
};

const updateReservation = (
	progress: Progress,
	{to, cores, memoryMb}: JobMove,
	change: 1 | -1,
) => {
	const reserved = progress.reservedByWorker.get(to) ?? {cores: 0, memoryMb: 0};
	reserved.cores += change * cores;
	reserved.memoryMb += change * memoryMb;
	progress.reservedByWorker.set(to, reserved);
};

/** Records a move in progress; `undefined` removes it once it has ended. */
export const updateJobMove = (
	progress: Progress,
	jobId: string,
	move: JobMove | undefined,
): void => {
	const previous = progress.jobMoves.get(jobId);
	if (previous) {
		updateReservation(progress, previous, -1);
		progress.jobMoves.delete(jobId);
	}

	if (move) {
		updateReservation(progress, move, 1);
		progress.jobMoves.set(jobId, move);
	}
};
