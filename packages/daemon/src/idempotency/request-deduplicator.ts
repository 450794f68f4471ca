/**
 * At-most-once requests of one entry. Requests with the same key and
 * fingerprint share one attempt on this entry; the row in the table service
 * decides between entries.
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

/** What a keeper is made of. */
export type RequestDeduplicatorOptions = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	readonly randomness: Randomness;
	readonly settings: core.idempotency.Settings;
	readonly groupSettings: GroupSettings;
	/** Attempts that are open at once, at most. */
	readonly maxAttempts: number;
	readonly entry: string;
	readonly incarnation: string;
};

/** One request that may run at most once. */
export type AtMostOnceRequest = core.idempotency.FingerprintParts & {
	readonly customer: string;
	/** As checked by `core.idempotency.parseKey`. */
	readonly key: string;
	/** When the caller is answered, by the clock's `now`. */
	readonly deadline: number;
	readonly dispatch: Dispatch;
	/** Happens if the caller goes away. */
	readonly cancellation?: Cancellation;
};

/** At-most-once requests of one entry. */
export type RequestDeduplicator = {
	readonly handle: (req: AtMostOnceRequest) => Promise<Reply>;
	/** Takes no new requests; ends when all attempts have ended. */
	readonly stop: () => Promise<void>;
	readonly getOpenCount: () => number;
	readonly getCommitCount: () => number;
};

/** An attempt that requests on this entry share. */
type Shared = {
	readonly reply: Promise<Reply>;
	runner: AttemptRunner | undefined;
	waiters: number;
};

const hashFingerprint = (req: AtMostOnceRequest): string =>
	createHash('sha256')
		.update(core.idempotency.formatFingerprint(req))
		.digest('base64url');

const createError = (error: core.errors.ErrorKind): Reply => ({
	kind: 'error',
	error,
	outcome: core.errors.getErrorAnswer(error).outcome,
});

const isStillRunning = (reply: Reply): boolean =>
	reply.kind === 'error' && reply.error === 'still-running';

/** Makes the keeper of one entry. */
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
	const shared = new Map<string, Shared>();
	const stops: Array<() => void> = [];
	let openCount = 0;
	let isStopping = false;

	const drop = (name: string, attempt: Shared) => {
		if (shared.get(name) === attempt) {
			shared.delete(name);
		}
	};

	const noteEnd = () => {
		openCount--;
		if (isStopping && openCount === 0) {
			for (const stop of stops) {
				stop();
			}
		}
	};

	const start = (req: AtMostOnceRequest, name: string, fingerprint: string) => {
		const deferred = createDeferred<Reply>();
		const attempt: Shared = {
			reply: deferred.promise,
			runner: undefined,
			waiters: 0,
		};
		const operationId = randomness.createId();
		openCount++;
		shared.set(name, attempt);
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
					drop(name, attempt);
				}
			},
			onEnd() {
				drop(name, attempt);
				noteEnd();
			},
		});
		return attempt;
	};

	/**
	 * Waits for a shared attempt no longer than this request may. The attempt
	 * itself keeps the deadline of the request that started it.
	 */
	const join = async (
		attempt: Shared,
		name: string,
		req: AtMostOnceRequest,
		isOwn: boolean,
	): Promise<Reply> => {
		const {promise, resolve} = createDeferred<Reply>();
		const cancel = isOwn
			? () => undefined
			: clock.callAt(req.deadline, () => {
					resolve(createError('still-running'));
				});
		const removeListener = req.cancellation?.onCancel(() => {
			resolve(createError('cancelled'));
		});
		attempt.waiters++;
		const reply = await Promise.race([attempt.reply, promise]);
		cancel();
		removeListener?.();
		attempt.waiters--;
		const isGone = req.cancellation?.isCancelled() ?? false;
		const isLeft = isGone && attempt.waiters === 0;
		if (isLeft && attempt.runner?.reportCallerGone() === false) {
			drop(name, attempt);
		}

		return reply;
	};

	const handle = async (req: AtMostOnceRequest): Promise<Reply> => {
		const fingerprint = hashFingerprint(req);
		const rowKey = core.idempotency.formatRowKey(req.customer, req.key);
		const name = `${rowKey} ${fingerprint}`;
		for (;;) {
			const known = shared.get(name);
			const isFull = isStopping || openCount >= options.maxAttempts;
			if (known === undefined && isFull) {
				return createError('key-unread');
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
