/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no type information for JavaScript where CI=true is set. */
/**
 * A stand-in of an executor, after PROTOCOL.md: it starts what it is told to,
 * keeps leases by its own clock, lists runs and ends, and registers itself.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

/** As in the settings of a small deployment. */
const bounds = {
	heartbeatMs: 1500,
	holdMaxMs: 10_000,
	stopTimeoutMs: 200,
	checkpointMs: 2000,
	restoreMs: 250,
	maxWaitMs: 2000,
	maxListed: 500,
};

const readBody = async (req) => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/** Time after which a grey executor fails what it has started. */
const failAfterMs = 1000;

/** A checkpoint of 16 characters that holds the work done, in milliseconds. */
const toCheckpoint = (workMs) =>
	workMs < bounds.checkpointMs
		? ''
		: Math.floor(workMs).toString(16).padStart(16, '0');

/**
 * Creates an executor. `getWork` gives what a task does: `workMs`, and whether
 * it can checkpoint. `note` takes what is to be recorded.
 */
export const createExecutor = ({
	id,
	service,
	host,
	rack,
	cpu,
	store,
	note,
	getWork,
}) => {
	const startedAt = performance.now();
	const getClock = () => Math.round(performance.now() - startedAt) + 1000;
	const running = new Map();
	const finished = [];
	/** Highest run that was stopped or ended, by task. */
	const barred = new Map();
	const waiting = new Set();
	let lastEnd = 0;
	let token = 0;
	let leaseUntil = 0;
	let ackedUpto = 0;
	let sequence = 0;
	let isDown = false;
	let isDraining = false;
	/** Fails all that it starts, in good health. */
	let isGrey = false;
	let beats;
	const toKey = (task, run) => `${task}/${run}`;

	const getWorkDone = (entry) =>
		Math.max(0, performance.now() - entry.beganAt) + entry.resumedMs;

	const getSaved = (entry) =>
		entry.canCheckpoint ? toCheckpoint(getWorkDone(entry)) : '';

	const end = (entry, how) => {
		if (!running.delete(toKey(entry.task, entry.run)) || isDown) {
			return;
		}

		clearTimeout(entry.timer);
		lastEnd += 1;
		barred.set(entry.task, Math.max(barred.get(entry.task) ?? 0, entry.run));
		finished.push([
			lastEnd,
			entry.task,
			entry.run,
			how,
			how === 'done' ? '' : getSaved(entry),
		]);
		note({
			kind: 'end',
			executor: id,
			task: entry.task,
			run: entry.run,
			how,
			number: lastEnd,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const checkLease = () => {
		if (running.size > 0 && getClock() >= leaseUntil) {
			for (const entry of running.values()) {
				end(entry, 'lapsed');
			}
		}
	};

	const leases = setInterval(checkLease, 20);

	const extend = (untilMs) => {
		const until = Math.min(untilMs ?? 0, getClock() + bounds.holdMaxMs);
		leaseUntil = Math.max(leaseUntil, until);
	};

	const seeToken = (given = 0) => {
		const isLower = given < token;
		token = Math.max(token, given);
		return !isLower;
	};

	const failSoon = (entry) => {
		clearTimeout(entry.timer);
		entry.timer = setTimeout(() => {
			end(entry, 'failed');
		}, failAfterMs);
	};

	const start = ({task, run, spec, untilMs, checkpoint = ''}) => {
		if (running.has(toKey(task, run))) {
			extend(untilMs);
			return [200, {}];
		}

		if (run <= (barred.get(task) ?? 0)) {
			extend(untilMs);
			return [409, {reason: 'old'}];
		}

		if (untilMs <= getClock()) {
			return [409, {reason: 'late'}];
		}

		extend(untilMs);
		const {workMs, canCheckpoint} = getWork(task, spec);
		const resumedMs = checkpoint === '' ? 0 : Number.parseInt(checkpoint, 16);
		const restoreMs = checkpoint === '' ? 0 : bounds.restoreMs;
		const leftMs = Math.max(1, workMs - resumedMs) + restoreMs;
		const entry = {
			task,
			run,
			workMs,
			canCheckpoint,
			resumedMs,
			beganAt: performance.now() + restoreMs,
		};
		entry.timer = setTimeout(() => {
			end(entry, 'done');
		}, leftMs);
		running.set(toKey(task, run), entry);
		note({kind: 'start', executor: id, service, task, run, token});
		if (isGrey) {
			failSoon(entry);
		}

		return [200, {}];
	};

	const stop = ({task, run}) => {
		const entry = running.get(toKey(task, run));
		barred.set(task, Math.max(barred.get(task) ?? 0, run));
		if (entry) {
			setTimeout(() => {
				end(entry, 'stopped');
			}, bounds.stopTimeoutMs / 2);
		}

		return [200, {}];
	};

	const hold = async ({untilMs, ackedUpto: acked = 0, waitMs = 0}) => {
		extend(untilMs);
		if (acked > ackedUpto) {
			ackedUpto = acked;
			note({kind: 'ends taken note of', executor: id, upTo: acked});
		}

		while (finished.length > 0 && finished[0][0] <= ackedUpto) {
			finished.shift();
		}

		if (finished.length === 0 && waitMs > 0) {
			await new Promise((resolve) => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(waitMs, bounds.maxWaitMs));
				waiting.add(wake);
			});
		}

		return [
			200,
			{
				running: [...running.values()].map((entry) => [
					entry.task,
					entry.run,
					getSaved(entry),
					Math.min(99, Math.floor((100 * getWorkDone(entry)) / entry.workMs)),
					100,
				]),
				finished: finished.slice(0, bounds.maxListed),
			},
		];
	};

	const answer = async (req) => {
		const expected = req.headers['gullstand-expect-instance'];
		const body = await readBody(req);
		if (expected !== undefined && expected !== id) {
			return [421, {}];
		}

		if (!seeToken(body.fencingToken)) {
			return [409, {reason: 'fence'}];
		}

		switch (req.url) {
			case '/gullstand/run-start': {
				return start(body);
			}

			case '/gullstand/run-stop': {
				return stop(body);
			}

			case '/gullstand/hold': {
				return hold(body);
			}

			default: {
				return [200, {}];
			}
		}
	};

	const serve = async (req, res) => {
		const [status, body] = await answer(req);
		if (!isDown) {
			res.writeHead(status, {'content-type': 'application/json'});
			res.end(JSON.stringify({clockMs: getClock(), ...body}));
		}
	};

	const server = createServer(serve);

	const register = () => {
		sequence += 1;
		store.put('servers', id, {
			service,
			address: `${host}:${server.address().port}`,
			zone: 'zone-a',
			version: 'v1',
			slots: 8,
			state: isDraining ? 'draining' : 'ready',
			coldLeftMs: 0,
			capacity: {cpu, memMb: 65_536, gpu: 0},
			labels: ['a', rack],
			clockMs: getClock(),
			sequence,
			...(isDraining ? {remainingMs: 2000} : {}),
		});
	};

	const close = () => {
		isDown = true;
		clearInterval(beats);
		clearInterval(leases);
		for (const {timer} of running.values()) {
			clearTimeout(timer);
		}

		running.clear();
		server.closeAllConnections();
		server.close();
	};

	return {
		id,
		service,
		async open() {
			await new Promise((resolve) => {
				server.listen(0, host, resolve);
			});
			register();
			beats = setInterval(register, bounds.heartbeatMs);
		},
		/** Crashes: everything ends, and the entry lapses after three beats. */
		crash() {
			note({kind: 'crash', executor: id, runs: running.size});
			close();
			setTimeout(() => {
				store.remove('servers', id);
			}, 3 * bounds.heartbeatMs);
		},
		/** Fails all that it starts in that time. */
		turnGrey(forMs) {
			note({kind: 'grey', executor: id, runs: running.size, forMs});
			isGrey = true;
			setTimeout(() => {
				isGrey = false;
				note({kind: 'sound again', executor: id});
			}, forMs);
		},
		drain() {
			isDraining = true;
			register();
		},
		countRunning: () => running.size,
		countListed: () => finished.length,
		close,
	};
};
