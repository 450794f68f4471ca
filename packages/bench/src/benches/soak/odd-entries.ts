/** Processes of daemons beside entries and answers that no field expects. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../../frame/random.js';
import {createEnvironment} from './environment.js';
import {createPlainJob} from './jobs.js';
import {createRecorder, writeLines} from './record.js';
import {soakSizes} from './sizes.js';
import {createClients} from './traffic.js';

const sizes = {...soakSizes.short, standbyMachines: 1};

const [{name: service}] = sizes.services;

const rowDepth = 30_000;

const nest = (open: string, inner: string, close: string, depth = rowDepth) =>
	open.repeat(depth) + inner + close.repeat(depth);

const nested = nest('[', '', ']');

const zeros = (count: number): string => `[0${',0'.repeat(count - 1)}]`;

const largest = '9007199254740991';

const entry = {
	service: JSON.stringify(service),
	address: '"127.0.0.1:9"',
	zone: '"zone-a"',
	version: '"1"',
	state: '"ready"',
	slots: '4',
	capacity: '{"cpu":32000,"memMb":65536}',
	labels: '["r-0"]',
	sequence: '1',
} as const;

const formatEntry = (changes: Readonly<Record<string, string>>): Buffer => {
	const fields = Object.entries({...entry, ...changes});
	return Buffer.from(
		`{${fields.map(([name, text]) => `"${name}":${text}`).join(',')}}`,
	);
};

/** Keys and values of the table of executors. */
const createOddEntries = (
	liveAddress: string,
): ReadonlyArray<readonly [key: string, bytes: Buffer]> => {
	const live = {address: JSON.stringify(liveAddress)};
	const absurd = `{"cpu":${largest},"memMb":${largest},"gpu":${largest}}`;
	return [
		['i-live', formatEntry({...live, capacity: absurd})],
		['i-live-cpu', formatEntry({...live, capacity: `{"cpu":${largest}}`})],
		['i-dead', formatEntry({capacity: absurd, born: largest})],
		['__proto__', formatEntry({capacity: absurd, remainingMs: largest})],
		['constructor', formatEntry(live)],
		['toString', formatEntry({slots: '1e308', sequence: largest})],
		['i-labels', formatEntry({labels: nested})],
		['i-zeros', formatEntry({labels: zeros(30_000)})],
		['i-capacity', formatEntry({capacity: nest('{"cpu":', '1', '}', 10_000)})],
		['i-unnamed', formatEntry({more: nested})],
		['i-infinite', formatEntry({slots: '1e400', remainingMs: '-1e400'})],
		['i-port', formatEntry({address: '"127.0.0.1:70000"'})],
		['i-port-0', formatEntry({address: '"127.0.0.1:0"'})],
		['i-born', formatEntry({...live, born: `-${largest}`})],
		['i-service', formatEntry({service: `"${'s'.repeat(50_000)}"`})],
		['i-zone', formatEntry({...live, zone: `"${'z'.repeat(50_000)}"`})],
		['i-bytes', Buffer.from([0xff, 0xfe, 0x00])],
		['i-list', Buffer.from(nested)],
	];
};

const firstWave = 91;

const oddWaves: readonly Buffer[] = [
	'{"wave":91,"machines":["constructor","__proto__"],"durationS":20,"cap":1}',
	`{"wave":92,"machines":${zeros(30_000)},"durationS":20,"cap":1}`,
	'{"wave":93,"machines":["m-none"],"durationS":1e308,"cap":1}',
	`{"wave":94,"machines":["m-none"],"durationS":${largest},"cap":${largest}}`,
	'{"wave":"a/b","machines":["m-none"],"durationS":20,"cap":1}',
	`{"wave":${nested},"machines":[],"durationS":20,"cap":1}`,
].map((text) => Buffer.from(text));

/** Answers to polls, one after another. */
const oddPolls: readonly string[] = [
	'{"clockMs":5}',
	`{"clockMs":5,"more":${nest('[', '', ']', 100_000)}}`,
	`{"clockMs":5,"running":${zeros(1_000_000)}}`,
	`{"clockMs":5,"more":${nest('[', '', ']', 5_000_000)}}`,
	`{"clockMs":${largest}}`,
	`{"clockMs":-${largest},"born":${largest}}`,
	'{"clockMs":1e400}',
	`{"clockMs":5,"running":[["constructor.0.0.0",${largest},"",1e308,1e400]]}`,
	`{"clockMs":5,"finished":[[${largest},"0000000000000000.99999.0.0",1,"done",""]]}`,
	'null',
];

const pollPath = '/gullstand/hold';

/** Starts a server that answers as an executor of any id. */
const startOddExecutor = async () => {
	const calls = new Map<string, number>();
	const server = createServer((req, res) => {
		const url = req.url ?? '';
		const count = calls.get(url) ?? 0;
		calls.set(url, count + 1);
		req.resume();
		if (url === pollPath) {
			res.end(oddPolls[count % oddPolls.length]);
		} else {
			res.writeHead(count % 2 === 0 ? 503 : 409);
			res.end('{"clockMs":1e308,"reason":"constructor"}');
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: `127.0.0.1:${port}`,
		calls,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

const createJobs = () =>
	Array.from({length: 150}, (_, index) =>
		createPlainJob({
			id: index.toString(16).padStart(16, '0'),
			queue: `/${sizes.services[index % 2]!.name}-a/`,
			atMs: 200 * index,
			count: 3,
			workMs: 300,
		}),
	);

export type OddEntriesResult = {
	readonly isReady: boolean;
	/** Daemons that ended by themselves. */
	readonly ends: readonly unknown[];
	readonly accepted: number;
	/** Ids and last states of the accepted jobs that have not completed. */
	readonly others: ReadonlyArray<readonly [id: string, state: string]>;
	/** Polls of the executor that answers oddly. */
	readonly polls: number;
	/** What the daemons have logged. */
	readonly lines: string;
};

const entryGapMs = 600;

const waveGapMs = 400;

const restartGapMs = 3000;

const settledMs = 15_000;

/**
 * Writes odd entries and waves beside jobs, then kills each daemon once, so that
 * the next owners meet all of them at once.
 */
export const playOddEntries = async (
	log: (line: string) => void,
): Promise<OddEntriesResult> => {
	const folder = mkdtempSync(path.join(tmpdir(), 'gullstand-odd-'));
	const recorder = createRecorder();
	const environment = await createEnvironment(sizes, 65, folder, recorder);
	const {store, daemons} = environment;
	const odd = await startOddExecutor();
	const clients = createClients(daemons, recorder, createRandom(66));
	let isReady = false;
	try {
		isReady = await environment.start();
		const done = clients.run(createJobs());
		for (const [key, bytes] of createOddEntries(odd.address)) {
			await delay(entryGapMs);
			store.putBytes('servers', key, bytes);
		}

		for (const [index, bytes] of oddWaves.entries()) {
			await delay(waveGapMs);
			store.putBytes('op', `wave/${firstWave + index}`, bytes);
		}

		for (const each of daemons) {
			await delay(restartGapMs);
			await each.kill();
			each.start();
		}

		await delay(settledMs);
		clients.stopAsking();
		await done;
		await clients.askForAll();
	} finally {
		odd.close();
		clients.close();
		await environment.stop();
	}

	const lines = daemons
		.map(({name}) => readFileSync(path.join(folder, `${name}.log`), 'utf8'))
		.join('');
	const accepted = [...clients.jobs.values()].filter(
		({acceptedMs}) => acceptedMs !== undefined,
	);
	const others = accepted.flatMap(({plan, states}) => {
		const state = states.at(-1)?.state ?? 'not asked for';
		return state === 'completed' ? [] : [[plan.id, state] as const];
	});
	const ends = recorder.events.filter(
		(event) => event.kind === 'daemon ended' && !event.isExpected,
	);
	if (others.length > 0 || ends.length > 0) {
		writeLines(folder, 'events.jsonl', recorder.events);
		log(`lines and events are kept in ${folder}`);
	} else {
		rmSync(folder, {recursive: true});
	}

	return {
		isReady,
		ends,
		accepted: accepted.length,
		others,
		polls: odd.calls.get(pollPath) ?? 0,
		lines,
	};
};
