/** Why a wave cannot be done at all, found before it starts. */
import type {WaveFacts} from './facts.js';
import type {WaveSettings} from './settings.js';

/** What stands in the way of a wave. */
export type Blocker =
	/** The contract never lets an executor of the service go. */
	| {
			readonly kind: 'never-allowed';
			readonly service: string;
			readonly customer: string;
			readonly term: 'keepExecutors' | 'maxAway' | 'reserve';
			readonly value: number;
			readonly executors: number;
	  }
	/** The service's instances cannot all be done by the deadline. */
	| {
			readonly kind: 'too-slow';
			readonly service: string;
			readonly customer: string;
			readonly rounds: number;
			readonly neededMs: number;
			readonly leftMs: number;
	  }
	| {readonly kind: 'no-ledger'; readonly service: string}
	| {readonly kind: 'empty'; readonly pool: string};

/** The wave as it is asked for. */
export type ProposedWave = {
	readonly pools: readonly string[];
	readonly settings: WaveSettings;
	/** Time from now to the deadline, in milliseconds. */
	readonly untilDeadlineMs: number;
	/** Instances of the wave, by pool. */
	readonly sizes: ReadonlyMap<string, number>;
};

/** The term that leaves a service the least room, and how much it leaves. */
const getTightest = (facts: WaveFacts, service: string) => {
	const {terms, entries} = facts.ledgers.get(service)!;
	const executors = Object.keys(entries).length;
	const reserve = facts.reserves.get(service) ?? 0;
	const spare = executors - terms.keepExecutors;
	if (terms.maxAway <= spare - reserve) {
		const {maxAway: value, maxAwayFor: customer} = terms;
		return {room: value, term: 'maxAway' as const, value, customer, executors};
	}

	const customer = terms.keepExecutorsFor;
	return spare > 0 && spare - reserve <= 0
		? {room: 0, term: 'reserve' as const, value: reserve, customer, executors}
		: {
				room: spare - reserve,
				term: 'keepExecutors' as const,
				value: terms.keepExecutors,
				customer,
				executors,
			};
};

const findServiceObstacle = (
	request: ProposedWave,
	facts: WaveFacts,
	service: string,
	size: number,
): Blocker | undefined => {
	if (facts.ledgers.get(service) === undefined) {
		return {kind: 'no-ledger', service};
	}

	const {room, term, value, customer, executors} = getTightest(facts, service);
	if (room < 1) {
		return {kind: 'never-allowed', service, customer, term, value, executors};
	}

	const rounds = Math.ceil(size / room);
	const neededMs = rounds * request.settings.cycleMs;
	const {untilDeadlineMs: leftMs} = request;
	return neededMs > leftMs
		? {kind: 'too-slow', service, customer, rounds, neededMs, leftMs}
		: undefined;
};

/** Lists every obstacle; none if the wave may start. */
export const findBlockers = (
	request: ProposedWave,
	facts: WaveFacts,
): readonly Blocker[] => {
	const obstacles: Blocker[] = [];
	for (const pool of request.pools) {
		const size = request.sizes.get(pool) ?? 0;
		if (size === 0) {
			obstacles.push({kind: 'empty', pool});
		}

		for (const service of facts.servicesByPool.get(pool) ?? []) {
			const found = findServiceObstacle(request, facts, service, size);
			if (found) {
				obstacles.push(found);
			}
		}
	}

	return obstacles;
};
