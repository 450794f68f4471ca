/**
 * Supervisor tree of parts. Parts start in order and stop in reverse. A part
 * that fails while running is restarted with backoff; a part that fails too
 * often makes its supervisor fail.
 */
import VError from 'verror';

/** Reports a failure of a running part to its supervisor. */
export type ReportFailure = (err: Error) => void;

/** One part of a daemon; a supervisor is itself a part. */
export type Part = {
	readonly name: string;
	/** Resolves once the part serves. */
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	/** Stops gracefully; work left at the deadline (ms of `now`) is aborted. */
	readonly stop: (deadline: number) => Promise<void>;
};

/** Limits and delays of restarts; times in milliseconds. */
export type RestartPolicy = {
	readonly maxRestarts: number;
	readonly withinMs: number;
	readonly backoffMs: number;
	readonly maxBackoffMs: number;
};

/** Dependencies of a supervisor. */
export type SupervisorDeps = {
	readonly now: () => number;
	readonly delay: (ms: number) => Promise<void>;
	readonly onRestart: (part: string, err: Error) => void;
};

/** At most five restarts per minute, delayed by 100 ms to 5 s. */
export const defaultRestartPolicy: RestartPolicy = {
	maxRestarts: 5,
	withinMs: 60_000,
	backoffMs: 100,
	maxBackoffMs: 5000,
};

const getBackoffMs = (policy: RestartPolicy, restarts: number): number =>
	Math.min(policy.maxBackoffMs, policy.backoffMs * 2 ** (restarts - 1));

/** Adds a restart at `now` and removes those older than `withinMs`. */
export const addRestart = (
	policy: RestartPolicy,
	restarts: readonly number[],
	now: number,
): readonly number[] => [
	...restarts.filter((at) => now - at < policy.withinMs),
	now,
];

type Child = {part: Part; restarts: readonly number[]; restarting: boolean};

/** Creates a part that supervises other parts. */
export const createSupervisor = (
	name: string,
	parts: readonly Part[],
	deps: SupervisorDeps,
	policy: RestartPolicy = defaultRestartPolicy,
): Part => {
	const children = parts.map((part): Child => ({
		part,
		restarts: [],
		restarting: false,
	}));
	let stopping = false;
	let started: Child[] = [];
	let reportOwnFailure: ReportFailure = () => undefined;

	const failSupervisor = (child: Child, err: Error) => {
		stopping = true;
		reportOwnFailure(
			new VError(err, `${name}: part ${child.part.name} keeps failing`),
		);
	};

	const restart = async (child: Child, cause: Error): Promise<void> => {
		let err = cause;
		for (;;) {
			child.restarts = addRestart(policy, child.restarts, deps.now());
			if (child.restarts.length > policy.maxRestarts) {
				failSupervisor(child, err);
				return;
			}

			deps.onRestart(child.part.name, err);
			try {
				await child.part.stop(deps.now());
				await deps.delay(getBackoffMs(policy, child.restarts.length));
				await (stopping ? undefined : startUnlessStopped(child));
				return;
			} catch (err_) {
				err = err_ as Error;
			}
		}
	};

	const startUnlessStopped = async (child: Child) => {
		await child.part.start(createFailureReporter(child));
		if (stopping) {
			await child.part.stop(deps.now());
		}
	};

	const handleFailure = async (child: Child, err: Error) => {
		if (stopping || child.restarting) {
			return;
		}

		child.restarting = true;
		await restart(child, err);
		child.restarting = false;
	};

	const createFailureReporter =
		(child: Child): ReportFailure =>
		(err) => {
			void handleFailure(child, err);
		};

	const stop = async (deadline: number) => {
		stopping = true;
		for (const child of started.toReversed()) {
			await child.part.stop(deadline);
		}

		started = [];
	};

	const start = async (reportFailure: ReportFailure) => {
		reportOwnFailure = reportFailure;
		stopping = false;
		for (const child of children) {
			try {
				await child.part.start(createFailureReporter(child));
			} catch (err) {
				await stop(deps.now());
				throw new VError(
					err as Error,
					`${name}: part ${child.part.name} did not start`,
				);
			}

			started.push(child);
		}
	};

	return {name, start, stop};
};
