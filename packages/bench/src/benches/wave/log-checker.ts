/**
 * Judges a wave from its event log alone: who was seen lost, who was taken
 * and given back, which job moved. It shares no code with the ledger.
 */

/** What the outside saw. Services stand in the event, as at that moment. */
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
	/** Really down; the list shows it later. */
	| {kind: 'down'; instance: string; services: readonly string[]}
	| {kind: 'up'; instance: string; services: readonly string[]}
	/** The list shows it. */
	| {kind: 'seen-down'; instance: string; services: readonly string[]}
	| {kind: 'seen-up'; instance: string; services: readonly string[]}
	| {kind: 'moved'; job: string}
	| {kind: 'worker-failed'; job: string};

/** What the log says. */
export type Verdict = {
	takes: number;
	/** Planned away above maxAway. */
	overMaxAway: number;
	/** A take while loss that the list shows had used the budget. */
	takesOnLoss: number;
	/** A take that left fewer serving than kept, counting listed loss. */
	underKeep: number;
	/** Takes that loss not yet listed would have forbidden. */
	takesBeforeListed: number;
	moves: number;
	/** Moves of a job that had moved and whose worker had not failed since. */
	secondMoves: number;
	losses: number;
	/** Losses that left a service under its kept capacity. */
	lossesUnderKeep: number;
};

type Account = {
	keep: number;
	maxAway: number;
	size: number;
	taken: Set<string>;
	down: Set<string>;
	seenDown: Set<string>;
};

const countUnion = (one: Set<string>, other: Set<string>) =>
	one.size + [...other].filter((id) => !one.has(id)).length;

const judgeTake = (account: Account, verdict: Verdict) => {
	const {taken, down, seenDown, maxAway, keep, size} = account;
	const listed = countUnion(taken, seenDown);
	const real = countUnion(taken, down);
	verdict.overMaxAway += taken.size > maxAway ? 1 : 0;
	verdict.takesOnLoss += listed > maxAway ? 1 : 0;
	verdict.underKeep += size - listed < keep ? 1 : 0;
	const isSeen = listed <= maxAway && size - listed >= keep;
	const isReal = real <= maxAway && size - real >= keep;
	verdict.takesBeforeListed += isSeen && !isReal ? 1 : 0;
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
	accounts: ReadonlyMap<string, Account>,
	event: InstanceEvent,
	verdict: Verdict,
) => {
	const [set, change] = changes[event.kind];
	let wasTaken = false;
	for (const service of event.services) {
		const account = accounts.get(service)!;
		wasTaken ||= account.taken.has(event.instance);
		account[set][change](event.instance);
		if (event.kind === 'taken') {
			judgeTake(account, verdict);
		}
	}

	verdict.takes += event.kind === 'taken' ? 1 : 0;
	const isLoss = event.kind === 'down' && !wasTaken;
	const isShort = event.services.some((service) => {
		const {size, keep, taken, down} = accounts.get(service)!;
		return size - countUnion(taken, down) < keep;
	});
	verdict.losses += isLoss ? 1 : 0;
	verdict.lossesUnderKeep += isLoss && isShort ? 1 : 0;
};

const createAccount = ({
	keep,
	maxAway,
	size,
}: LogEvent & {kind: 'promise'}): Account => ({
	keep,
	maxAway,
	size,
	taken: new Set(),
	down: new Set(),
	seenDown: new Set(),
});

/** Reads a log from its beginning. */
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
	const accounts = new Map<string, Account>();
	const moved = new Set<string>();
	for (const event of log) {
		switch (event.kind) {
			case 'promise': {
				accounts.set(event.service, createAccount(event));
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
				applyInstanceEvent(accounts, event, verdict);
				break;
			}
		}
	}

	return verdict;
};
