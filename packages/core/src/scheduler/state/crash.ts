/** Crashes of executors as a task and its stored rows have them. */

/** An incarnation of an executor that does not answer and may live. */
export type PossiblyLost = {
	readonly executorId: string;
	/** Absent if the platform does not report it. */
	readonly startedAtEpochMs?: number | undefined;
	/** Its clock as it was last read; absent in rows of the older format. */
	readonly clockMs?: number | undefined;
	/** Absent in rows of the older format. */
	readonly address?: string | undefined;
};

/** Signs by which an executor counts as lost; see possible-losses.ts. */
export const lossSigns = {
	/** Another incarnation answers at its id, or is listed there. */
	restarted: 'restarted',
	/** Another executor has been listed at its address since. */
	replaced: 'replaced',
	/** It has neither answered nor been listed for `absenceMs`. */
	absent: 'absent',
} as const;

/** One of `lossSigns`. */
export type LossSign = (typeof lossSigns)[keyof typeof lossSigns];

/** The loss of an executor under a run; see crash-attribution.ts. */
export type Crash = {
	/** Number of the run. */
	readonly run: number;
	/**
	 * How long the run had certainly survived, by the executor's clock; 5,000 for a
	 * run of an earlier owner.
	 */
	readonly survivedMs: number;
	readonly wasIsolated: boolean;
	/**
	 * Probability that the executor was lost by chance, 0 to 1. Absent in rows
	 * of the older format.
	 */
	readonly chance?: number | undefined;
	/** Older format: a start without an answer while losses were frequent. */
	readonly isDoubtful?: boolean | undefined;
	/** The start has no answer yet, and may have been turned away. */
	readonly awaitsAnswer?: boolean | undefined;
	/**
	 * The executor that withdraws the crash if it answers; absent once another
	 * incarnation of it has answered.
	 */
	readonly possiblyOn?: PossiblyLost | undefined;
	/** Absent while the executor may live, and in rows of the older format. */
	readonly sign?: LossSign | undefined;
	/** Absent in rows of the older format. */
	readonly executorId?: string | undefined;
	/** Whether the start was answered; absent in rows of the older format. */
	readonly wasAnswered?: boolean | undefined;
	/** When the executor was found lost by this owner; not stored. */
	readonly lostAt?: number | undefined;
};
