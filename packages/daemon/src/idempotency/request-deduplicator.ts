/**
 * At-most-once execution of requests on one entry. Requests with the same key
 * and fingerprint share one attempt on this entry; the row in the table service
 * arbitrates between entries.
 */
import {createHash} from 'node:crypto';
import * as core from '@gullstand/core';
import type {ObjectStore, TableService} from '@gullstand/ports';
import type {Cancellation} from '../caller/cancellation.js';
import {
	type Dispatch,
	type AttemptRunner,
	type AttemptRunnerPorts,
	runAttempt,
} from './attempt-runner.js';
import {createDeferred} from './deferred.js';
import {type GroupSettings, createGroupWriter} from './group-writer.js';
import type {Clock, Randomness} from './ports.js';

type Reply = core.idempotency.Reply;

/** Options of the request deduplicator. */
export type RequestDeduplicatorOptions = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	readonly randomness: Randomness;
	readonly settings: core.idempotency.Settings;
	readonly groupSettings: GroupSettings;
	/** Maximum number of open attempts. */
	readonly maxAttempts: number;
	readonly entry: string;
	readonly incarnation: string;
};

/** One request that may run at most once. */
export type AtMostOnceRequest = core.idempotency.FingerprintParts & {
	readonly customer: string;
	/** Validated by `core.idempotency.parseKey`. */
	readonly key: string;
	/** Time by which the caller is answered, by the clock's `now`. */
	readonly deadline: number;
	readonly dispatch: Dispatch;
	/** Fires if the caller disconnects. */
	readonly cancellation?: Cancellation;
};

/** Runs requests at most once. */
export type RequestDeduplicator = {
	readonly handle: (req: AtMostOnceRequest) => Promise<Reply>;
	/** Refuses new requests; resolves when all attempts have ended. */
	readonly stop: () => Promise<void>;
	readonly getOpenCount: () => number;
	readonly getCommitCount: () => number;
};

/** An attempt that several requests on this entry share. */
type SharedAttempt = {
	readonly reply: Promise<Reply>;
	runner: AttemptRunner | undefined;
	waiters: number;
};

const hashFingerprint = (req: AtMostOnceRequest): string =>
	createHash('sha256')
		.update(core.idempotency.formatFingerprint(req))
		.digest('base64url');

const createErrorReply = (error: core.errors.ErrorKind): Reply => ({
	kind: 'error',
	error,
	outcome: core.errors.getErrorAnswer(error).outcome,
});

const isStillRunning = (reply: Reply): boolean =>
	reply.kind === 'error' && reply.error === 'still-running';

export const createRequestDeduplicator = (
	options: RequestDeduplicatorOptions,
): RequestDeduplicator => {
	const {clock, randomness, settings, entry, incarnation} = options;
	const {tables, objects, groupSettings} = options;
	const writer = createGroupWriter({
		tables,
		clock,
		randomness,
		settings: groupSettings,
	});
	const ports: AttemptRunnerPorts = {tables, objects, writer, clock};
	const sharedAttempts = new Map<string, SharedAttempt>();
	const stops: Array<() => void> = [];
	let openCount = 0;
	let isStopping = false;

	const removeShared = (name: string, attempt: SharedAttempt) => {
		if (sharedAttempts.get(name) === attempt) {
			sharedAttempts.delete(name);
		}
	};

	const recordEnd = () => {
		openCount--;
		if (isStopping && openCount === 0) {
			for (const stop of stops) {
				stop();
			}
		}
	};

	const start = (req: AtMostOnceRequest, name: string, fingerprint: string) => {
		const deferred = createDeferred<Reply>();
		const attempt: SharedAttempt = {
			reply: deferred.promise,
			runner: undefined,
			waiters: 0,
		};
		const operationId = randomness.createId();
		openCount++;
		sharedAttempts.set(name, attempt);
		attempt.runner = runAttempt({
			ports,
			settings,
			rowKey: core.idempotency.formatRowKey(req.customer, req.key),
			claim: {
				fingerprint,
				holder: {entry, incarnation, operationId},
				createdAt: clock.getTime().now,
				deadline: req.deadline,
				jitter: randomness.draw(),
			},
			dispatch: req.dispatch,
			onReply(reply) {
				deferred.resolve(reply);
				if (reply.kind === 'error') {
					removeShared(name, attempt);
				}
			},
			onEnd() {
				removeShared(name, attempt);
				recordEnd();
			},
		});
		return attempt;
	};

	/**
	 * Waits for a shared attempt until this request's own deadline. The attempt
	 * keeps the deadline of the request that started it.
	 */
	const join = async (
		attempt: SharedAttempt,
		name: string,
		req: AtMostOnceRequest,
		isOwn: boolean,
	): Promise<Reply> => {
		const {promise, resolve} = createDeferred<Reply>();
		const cancel = isOwn
			? () => undefined
			: clock.callAt(req.deadline, () => {
					resolve(createErrorReply('still-running'));
				});
		const removeListener = req.cancellation?.onCancel(() => {
			resolve(createErrorReply('cancelled'));
		});
		attempt.waiters++;
		const reply = await Promise.race([attempt.reply, promise]);
		cancel();
		removeListener?.();
		attempt.waiters--;
		const isCallerGone = req.cancellation?.isCancelled() ?? false;
		const isAbandoned = isCallerGone && attempt.waiters === 0;
		if (isAbandoned && attempt.runner?.reportCallerGone() === false) {
			removeShared(name, attempt);
		}

		return reply;
	};

	const handle = async (req: AtMostOnceRequest): Promise<Reply> => {
		const fingerprint = hashFingerprint(req);
		const rowKey = core.idempotency.formatRowKey(req.customer, req.key);
		const name = `${rowKey} ${fingerprint}`;
		for (;;) {
			const known = sharedAttempts.get(name);
			const isSaturated = isStopping || openCount >= options.maxAttempts;
			if (known === undefined && isSaturated) {
				return createErrorReply('key-unread');
			}

			const isOwn = known === undefined;
			const attempt = known ?? start(req, name, fingerprint);
			const reply = await join(attempt, name, req, isOwn);
			const isLate = clock.getTime().now >= req.deadline;
			if (isOwn || isLate || !isStillRunning(reply)) {
				return reply;
			}
		}
	};

	const stop = async () => {
		isStopping = true;
		if (openCount > 0) {
			await new Promise<void>((resolve) => {
				stops.push(resolve);
			});
		}
	};

	return {
		handle,
		stop,
		getOpenCount: () => openCount,
		getCommitCount: writer.getCommitCount,
	};
};
