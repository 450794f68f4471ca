/**
 * A supervisor tree of parts. Parts start in order and stop in reverse. A
 * part that fails while running is restarted with backoff; one that fails too
 * often takes its supervisor down with an error.
 */
import VError from 'verror';

/** Signals a failure of a running part to its supervisor. */
export type ReportFailure = (err: Error) => void;

/** One part of a daemon; a supervisor is itself a part. */
export type Part = {
	readonly name: string;
	/** Resolves once the part serves. */
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	/** Graceful stop; past the deadline (ms of `now`) the part cuts off. */
	readonly stop: (deadline: number) => Promise<void>;
};

/** When a failed part is restarted and when its supervisor gives up. */
export type RestartPolicy = {
	readonly maxRestarts: number;
	readonly withinMs: number;
	readonly backoffMs: number;
	readonly maxBackoffMs: number;
};

/** What a supervisor needs from outside. */
export type SupervisorDeps = {
	readonly now: () => number;
	readonly delay: (ms: number) => Promise<void>;
	readonly onRestart: (part: string, err: Error) => void;
};

/** Restarts within a minute, five times, from 100 ms up to 5 s apart. */
export const defaultRestartPolicy: RestartPolicy = {
	maxRestarts: 5,
	withinMs: 60_000,
	backoffMs: 100,
	maxBackoffMs: 5000,
};

const getBackoffMs = (policy: RestartPolicy, restarts: number): number =>
	Math.min(policy.maxBackoffMs, policy.backoffMs * 2 ** (restarts - 1));

/** Times of the restarts that still count at `now`, with this one. */
export const addRestart = (
	policy: RestartPolicy,
	restarts: readonly number[],
	now: number,
): readonly number[] => [
	...restarts.filter((at) => now - at < policy.withinMs),
	now,
];

type Child = {part: Part; restarts: readonly number[]; restarting: boolean};

/** Builds a part out of parts. */
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
	let reportUp: ReportFailure = () => undefined;

	const giveUp = (child: Child, err: Error) => {
		stopping = true;
		reportUp(new VError(err, `${name}: part ${child.part.name} keeps failing`));
	};

	const restart = async (child: Child, cause: Error): Promise<void> => {
		let err = cause;
		for (;;) {
			child.restarts = addRestart(policy, child.restarts, deps.now());
			if (child.restarts.length > policy.maxRestarts) {
				giveUp(child, err);
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
		await child.part.start(failureOf(child));
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

	const failureOf =
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
		reportUp = reportFailure;
		stopping = false;
		for (const child of children) {
			try {
				await child.part.start(failureOf(child));
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
