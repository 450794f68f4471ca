/**
 * Who has a machine at the holder of the fleet's shard: a wave, or the moves
 * between pools. A machine that is emptied for a move goes to a wave that wants
 * it. Only one of them commands a machine at a time, since the list
 * does not tell whose command had which effect.
 */

/** Claimant of all moves. */
export const moveClaimant = 'moves';

/** Claimant of a wave. */
export const toWaveClaimant = (wave: string): string => `wave ${wave}`;

export type MachineClaims = {
	/** Claims a machine, unless another has it; returns whether it is claimed. */
	readonly claim: (machine: string, claimant: string) => boolean;
	/** Releases a machine that the claimant has. */
	readonly release: (machine: string, claimant: string) => void;
	readonly getClaimant: (machine: string) => string | undefined;
	readonly listClaimed: (claimant: string) => ReadonlySet<string>;
	/** Replaces the machines that are emptied for moves. */
	readonly setLeaving: (machines: Iterable<string>) => void;
	/** Whether a machine is emptied for a move. */
	readonly isLeaving: (machine: string) => boolean;
	/** Records that a command for a machine is sent or has ended now. */
	readonly recordCommand: (machine: string, claimant: string) => void;
	/**
	 * Whether another has the machine, or has commanded it since a list was
	 * requested at `viewedAt`, in milliseconds of the monotonic clock.
	 */
	readonly isTaken: (
		machine: string,
		claimant: string,
		viewedAt: number,
	) => boolean;
};

export const createMachineClaims = (now: () => number): MachineClaims => {
	const claims = new Map<string, string>();
	let leaving: ReadonlySet<string> = new Set();
	const commands = new Map<
		string,
		{readonly claimant: string; readonly at: number}
	>();

	const isClaimedByOther = (machine: string, claimant: string): boolean => {
		const current = claims.get(machine);
		return current !== undefined && current !== claimant;
	};

	return {
		claim(machine, claimant) {
			if (isClaimedByOther(machine, claimant)) {
				return false;
			}

			claims.set(machine, claimant);
			return true;
		},
		release(machine, claimant) {
			if (claims.get(machine) === claimant) {
				claims.delete(machine);
			}
		},
		getClaimant: (machine) => claims.get(machine),
		listClaimed: (claimant) =>
			new Set(
				[...claims].flatMap(([machine, each]) =>
					each === claimant ? [machine] : [],
				),
			),
		setLeaving(machines) {
			leaving = new Set(machines);
		},
		isLeaving: (machine) => leaving.has(machine),
		recordCommand(machine, claimant) {
			commands.set(machine, {claimant, at: now()});
		},
		isTaken(machine, claimant, viewedAt) {
			const last = commands.get(machine);
			const isCommandedByOther =
				last !== undefined && last.claimant !== claimant && last.at >= viewedAt;
			return isClaimedByOther(machine, claimant) || isCommandedByOther;
		},
	};
};
