/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no type information for JavaScript where CI=true is set. */
/**
 * A stand-in of the platform's metadata store, after PROTOCOL.md: tables of
 * rows, transactions under preconditions and feeds. Each daemon gets a port of
 * its own, so that the store can turn single machines away.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';

/** Limits that PROTOCOL.md names; `rowBytes` is of the settings there. */
const limits = {
	rowBytes: 65_536,
	entries: 100,
	callBytes: 1024 * 1024,
	pageRows: 500,
	txnMs: 4,
};

const toId = ({table, part = '', key}) => `${table}\n${part}\n${key}`;

const compareBytes = (one, two) =>
	Buffer.compare(Buffer.from(one), Buffer.from(two));

const readBody = async (req) => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	return text === '' ? {} : JSON.parse(text);
};

/** Creates the store; `note` takes what is to be recorded. */
export const createStore = ({host, note}) => {
	const rows = new Map();
	/** Changes in order, as the feeds show them. */
	const history = [];
	const waiting = new Set();
	const servers = [];
	/** Which transactions are done late, with their answer lost. */
	let lost;
	/** Daemons that the store turns away. */
	const refused = new Set();
	let version = 1;

	const apply = (puts, removes) => {
		version += 1;
		for (const {table, part = '', key, value} of puts) {
			const row = {table, part, key, value, schemaVersion: version};
			rows.set(toId(row), row);
			history.push(row);
		}

		for (const {table, part = '', key} of removes) {
			if (rows.delete(toId({table, part, key}))) {
				history.push({table, part, key, schemaVersion: version, deleted: true});
			}
		}

		for (const wake of waiting) {
			wake();
		}
	};

	const getStamp = () => ({
		schemaVersion: version,
		nowMs: Math.round(performance.now()),
	});

	const describeFault = ({precondition, puts, removes}) => {
		const all = [...precondition, ...puts, ...removes];
		if (all.length > limits.entries) {
			return 'too many entries';
		}

		const large = puts.find(
			({value}) => Buffer.from(value, 'base64').length > limits.rowBytes,
		);
		return large && `value too large: ${toId(large)} ${large.value.length}`;
	};

	/** Does a transaction late; its connection delivers nothing further. */
	const loseAnswer = (daemon, body, bytes) => {
		const {lateMs} = lost;
		note({kind: 'a write has no answer and is done late', daemon, lateMs});
		setTimeout(async () => {
			const [status] = await transact(body, bytes);
			note({kind: 'the late write is done', daemon, status});
		}, lateMs);
	};

	const transact = async (body, bytes) => {
		const {precondition = [], puts = [], removes = []} = body;
		const fault =
			bytes > limits.callBytes
				? 'call too large'
				: describeFault({precondition, puts, removes});
		if (fault !== undefined) {
			note({kind: 'store refused a transaction', fault});
			return [400, {}];
		}

		if (
			[...puts, ...removes].some(({table}) => /^(?:op|servers)$/v.test(table))
		) {
			return [403, {}];
		}

		await delay(limits.txnMs);
		const isMet = precondition.every(
			(each) =>
				(rows.get(toId(each))?.schemaVersion ?? 0) === each.schemaVersion,
		);
		if (!isMet) {
			const current = precondition.flatMap(
				(each) => rows.get(toId(each)) ?? [],
			);
			return [412, {rows: current, ...getStamp()}];
		}

		apply(puts, removes);
		return [200, getStamp()];
	};

	const read = (query) => {
		const table = query.get('table');
		const part = query.get('part') ?? '';
		const from = query.get('from') ?? '';
		const target = query.get('target');
		const limit = Math.min(
			Number(query.get('limit') ?? limits.pageRows),
			limits.pageRows,
		);
		const found = [...rows.values()]
			.filter((row) => row.table === table && row.part === part)
			.filter(
				({key}) =>
					compareBytes(key, from) >= 0 &&
					(target === null || compareBytes(key, target) < 0),
			)
			.toSorted((one, two) => compareBytes(one.key, two.key));
		const page = found.slice(0, limit);
		return {rows: page, hasMore: page.length < found.length, ...getStamp()};
	};

	const listParts = (query) => {
		const after = query.get('after');
		const parts = [...rows.values()]
			.filter(({table}) => table === query.get('table'))
			.map(({part}) => part)
			.filter((part) => after === null || compareBytes(part, after) > 0);
		const sorted = [...new Set(parts)].toSorted(compareBytes);
		return {parts: sorted.slice(0, 1000), hasMore: sorted.length > 1000};
	};

	const follow = async (query) => {
		const table = query.get('table');
		const after = Number(query.get('after') ?? 0);
		const until = performance.now() + Number(query.get('waitMs') ?? 0);
		for (;;) {
			const changed = history.filter(
				(row) => row.table === table && row.schemaVersion > after,
			);
			const leftMs = until - performance.now();
			if (changed.length > 0 || leftMs <= 0) {
				return {rows: changed, ...getStamp()};
			}

			await new Promise((resolve) => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, leftMs);
				waiting.add(wake);
			});
		}
	};

	const answer = async (daemon, req) => {
		const url = new URL(req.url, 'http://store');
		switch (url.pathname) {
			case '/gullstand/rows-tx': {
				const body = await readBody(req);
				const bytes = Number(req.headers['content-length'] ?? 0);
				if (lost?.isLost(body)) {
					loseAnswer(daemon, body, bytes);
					return undefined;
				}

				return transact(body, bytes);
			}

			case '/gullstand/rows-get': {
				await delay(limits.txnMs);
				return [200, read(url.searchParams)];
			}

			case '/gullstand/rows-parts': {
				await delay(limits.txnMs);
				return [200, listParts(url.searchParams)];
			}

			case '/gullstand/rows-feed': {
				return [200, await follow(url.searchParams)];
			}

			default: {
				return [404, {}];
			}
		}
	};

	const serve = async (daemon, req, res) => {
		if (refused.has(daemon)) {
			req.socket.resetAndDestroy();
			return;
		}

		const answered = await answer(daemon, req);
		if (answered === undefined) {
			return;
		}

		if (refused.has(daemon)) {
			req.socket.resetAndDestroy();
			return;
		}

		const [status, body] = answered;

		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	};

	return {
		/** Opens the port of a daemon; resolves to the address. */
		async listen(daemon) {
			const server = createServer(async (req, res) => serve(daemon, req, res));
			servers.push(server);
			await new Promise((resolve) => {
				server.listen(0, host, resolve);
			});
			return `${host}:${server.address().port}`;
		},
		/** Writes rows for the operator and the executors. */
		put(table, key, value) {
			const text = Buffer.from(JSON.stringify(value)).toString('base64');
			apply([{table, key, value: text}], []);
		},
		remove(table, key) {
			apply([], [{table, part: '', key}]);
		},
		/** Reads a row's value. */
		get(table, part, key) {
			const row = rows.get(toId({table, part, key}));
			return row && JSON.parse(Buffer.from(row.value, 'base64').toString());
		},
		/** Loses the answers to the transactions that `isLost` names. */
		loseWrites(isLost, lateMs) {
			lost = {isLost, lateMs};
		},
		loseNoMore() {
			lost = undefined;
		},
		turnAway(daemon) {
			refused.add(daemon);
		},
		serveAgain(daemon) {
			refused.delete(daemon);
		},
		close() {
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
};
