/**
 * Moves that are cancelled before they are commanded, since the pool needs its
 * machines again. A machine that is being evacuated takes no new work, so that
 * it would be out of use for a surplus which is over.
 */
import type {MovesUnderWay, PoolMachine, PoolMove} from './pool-plan.js';

/** Input of the choice of moves to cancel. */
export type RevocableMoves = {
	readonly machines: readonly PoolMachine[];
	readonly underWay: MovesUnderWay;
	/** Machines whose move has not been commanded. */
	readonly revocable: ReadonlySet<string>;
	/**
	 * Machines that each pool needs beyond those that serve it now and stay; at
	 * most 0 if there are enough.
	 */
	readonly missing: ReadonlyMap<string, number>;
};

/** Lists moves to cancel, of the machines that would leave last first. */
export const listMovesToCancel = ({
	machines,
	underWay,
	revocable,
	missing,
}: RevocableMoves): readonly PoolMove[] => {
	const left = new Map(missing);
	const leaving = machines
		.filter(
			({id, isUp, isReserved}) => isUp && !isReserved && revocable.has(id),
		)
		.toSorted((one, two) => two.runs - one.runs);
	return leaving.flatMap(({id}) => {
		const move = underWay.get(id);
		const needed = move ? (left.get(move.from) ?? 0) : 0;
		if (!move || needed <= 0) {
			return [];
		}

		left.set(move.from, needed - 1);
		return [move];
	});
};
