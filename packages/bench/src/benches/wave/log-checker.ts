/**
 * Checks a wave by its event log alone: instances lost, withdrawn and
 * returned, and jobs moved. It shares no code with the budget ledger.
 */

/** An event as seen from outside, with the services of the instance then. */
export type LogEvent =
	| {
			kind: 'promise';
			service: string;
			keep: number;
			maxAway: number;
			size: number;
	  }
	| {kind: 'taken'; instance: string; services: readonly string[]}
	| {kind: 'given-back'; instance: string; services: readonly string[]}
	/** The instance is down; the list shows it later. */
	| {kind: 'down'; instance: string; services: readonly string[]}
	| {kind: 'up'; instance: string; services: readonly string[]}
	/** The list shows the change. */
	| {kind: 'seen-down'; instance: string; services: readonly string[]}
	| {kind: 'seen-up'; instance: string; services: readonly string[]}
	| {kind: 'moved'; job: string}
	| {kind: 'worker-failed'; job: string};

/** Counts of one log. */
export type Verdict = {
	takes: number;
	/** Withdrawals that exceeded `maxAway`. */
	overMaxAway: number;
	/** Withdrawals while listed losses had used up the budget. */
	takesOnLoss: number;
	/** Withdrawals that left fewer serving than `keep`, with listed losses. */
	underKeep: number;
	/** Withdrawals that losses not yet listed would have forbidden. */
	takesBeforeListed: number;
	moves: number;
	/** Repeated moves of a job whose worker had not failed since. */
	secondMoves: number;
	losses: number;
	/** Losses that left a service below `keep`. */
	lossesUnderKeep: number;
};

type ServiceState = {
	keep: number;
	maxAway: number;
	size: number;
	taken: Set<string>;
	down: Set<string>;
	seenDown: Set<string>;
};

const countUnion = (one: Set<string>, other: Set<string>) =>
	one.size + [...other].filter((id) => !one.has(id)).length;

const checkWithdrawal = (state: ServiceState, verdict: Verdict) => {
	const {taken, down, seenDown, maxAway, keep, size} = state;
	const listed = countUnion(taken, seenDown);
	const real = countUnion(taken, down);
	verdict.overMaxAway += taken.size > maxAway ? 1 : 0;
	verdict.takesOnLoss += listed > maxAway ? 1 : 0;
	verdict.underKeep += size - listed < keep ? 1 : 0;
	const isAllowedByList = listed <= maxAway && size - listed >= keep;
	const isAllowed = real <= maxAway && size - real >= keep;
	verdict.takesBeforeListed += isAllowedByList && !isAllowed ? 1 : 0;
};

type InstanceEvent = Extract<LogEvent, {instance: string}>;

const changes = {
	taken: ['taken', 'add'],
	'given-back': ['taken', 'delete'],
	down: ['down', 'add'],
	up: ['down', 'delete'],
	'seen-down': ['seenDown', 'add'],
	'seen-up': ['seenDown', 'delete'],
} as const;

const applyInstanceEvent = (
	states: ReadonlyMap<string, ServiceState>,
	event: InstanceEvent,
	verdict: Verdict,
) => {
	const [set, change] = changes[event.kind];
	let wasTaken = false;
	for (const service of event.services) {
		const state = states.get(service)!;
		wasTaken ||= state.taken.has(event.instance);
		state[set][change](event.instance);
		if (event.kind === 'taken') {
			checkWithdrawal(state, verdict);
		}
	}

	verdict.takes += event.kind === 'taken' ? 1 : 0;
	const isLoss = event.kind === 'down' && !wasTaken;
	const isShort = event.services.some((service) => {
		const {size, keep, taken, down} = states.get(service)!;
		return size - countUnion(taken, down) < keep;
	});
	verdict.losses += isLoss ? 1 : 0;
	verdict.lossesUnderKeep += isLoss && isShort ? 1 : 0;
};

const createServiceState = ({
	keep,
	maxAway,
	size,
}: LogEvent & {kind: 'promise'}): ServiceState => ({
	keep,
	maxAway,
	size,
	taken: new Set(),
	down: new Set(),
	seenDown: new Set(),
});

/** Checks a log from its beginning. */
export const checkLog = (log: readonly LogEvent[]): Verdict => {
	const verdict: Verdict = {
		takes: 0,
		overMaxAway: 0,
		takesOnLoss: 0,
		underKeep: 0,
		takesBeforeListed: 0,
		moves: 0,
		secondMoves: 0,
		losses: 0,
		lossesUnderKeep: 0,
	};
	const states = new Map<string, ServiceState>();
	const moved = new Set<string>();
	for (const event of log) {
		switch (event.kind) {
			case 'promise': {
				states.set(event.service, createServiceState(event));
				break;
			}

			case 'moved': {
				verdict.moves += 1;
				verdict.secondMoves += moved.has(event.job) ? 1 : 0;
				moved.add(event.job);
				break;
			}

			case 'worker-failed': {
				moved.delete(event.job);
				break;
			}

			case 'taken':
			case 'given-back':
			case 'down':
			case 'up':
			case 'seen-down':
			case 'seen-up': {
				applyInstanceEvent(states, event, verdict);
				break;
			}
		}
	}

	return verdict;
};
