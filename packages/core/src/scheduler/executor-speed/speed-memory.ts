/** What an owner knows of the speed of its service. None of it is stored. */
import type {Run, Task} from '../state/task.js';
import type {RelativeSpeeds} from './relative-speed.js';
import type {ExecutorChange} from './slow-executors.js';

/** A copy of a run, started since the run was far behind. */
export type TaskCopy = {
	readonly task: Task;
	readonly original: Run;
	readonly copy: Run;
	/** Number of the run that ended as done first. */
	winner: number | undefined;
};

/** Outcome of a copy: it was first, the original was, or it ended otherwise. */
export type CopyOutcome = 'won' | 'lost' | 'ended';

/** What changed, for the log. */
export type SpeedEvent =
	| ExecutorChange
	| {
			readonly kind: 'copy-started';
			readonly taskId: string;
			/** Number of the run that is behind, and its executor. */
			readonly run: number;
			readonly executorId: string;
			readonly percent: number;
			/** Remaining time of that run. */
			readonly remainingMs: number;
			/** Number of the copy, and its executor. */
			readonly copy: number;
			readonly copyExecutorId: string;
			/** Expected time of the copy. */
			readonly copyMs: number;
	  }
	| {
			readonly kind: 'copy-ended';
			readonly taskId: string;
			readonly copy: number;
			readonly executorId: string;
			readonly outcome: CopyOutcome;
	  };

/** Speeds of the steps of a service, and the copies of its tasks. */
export type SpeedMemory = {
	decidedAt: number;
	/** Speeds of runs by step, as of the last decision. */
	steps: RelativeSpeeds['steps'];
	/** Copies whose task is not done yet. */
	readonly openCopies: Map<Task, TaskCopy>;
	/**
	 * The last copy of each task. The original and the copy get no other one, also
	 * when one of the two has ended.
	 */
	readonly copies: WeakMap<Task, Run>;
	/** Not taken for the log yet. */
	events: readonly SpeedEvent[];
};

/** Events that are kept for the log; older ones are dropped. */
const maxEvents = 200;

/** Creates the memory of a new owner, which learns the speeds anew. */
export const createSpeedMemory = (): SpeedMemory => ({
	decidedAt: Number.NEGATIVE_INFINITY,
	steps: new Map(),
	openCopies: new Map(),
	copies: new WeakMap(),
	events: [],
});

/** Adds events for the log. */
export const addSpeedEvents = (
	memory: SpeedMemory,
	events: readonly SpeedEvent[],
): void => {
	if (events.length > 0) {
		memory.events = [...memory.events, ...events].slice(-maxEvents);
	}
};

/** Returns the events since the last call. */
export const takeSpeedEvents = (memory: SpeedMemory): readonly SpeedEvent[] => {
	const {events} = memory;
	if (events.length > 0) {
		memory.events = [];
	}

	return events;
};
