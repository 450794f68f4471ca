import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import * as tap from 'tap';
import {request} from 'undici';
import {createDaemon} from './daemon.js';
import {
	embeddedCallerToken,
	startEmbeddedPlatform,
} from './embedded/embedded-platform.js';
import {createEmbeddedSettings} from './embedded/embedded-settings.js';
import type {Settings} from './settings/schema.js';
import {createLogger} from './log/logger.js';

const now = () => performance.now();

const startDaemon = async (
	t: tap.Test,
	changes: Partial<Settings['caller']> = {},
) => {
	const base = createEmbeddedSettings();
	const settings = {...base, caller: {...base.caller, ...changes}};
	const {platform, close} = await startEmbeddedPlatform(now);
	const logger = createLogger(settings.log, 'test', new PassThrough().resume());
	const daemon = createDaemon({settings, platform, logger, now});
	await daemon.start((err) => {
		throw err;
	});
	t.teardown(async () => {
		await daemon.stop();
		await close();
	});
	return daemon;
};

const sendRaw = async (port: number, text: string): Promise<string> =>
	new Promise((resolve, reject) => {
		const socket = connect(port, '127.0.0.1');
		let answer = '';
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			answer += chunk;
		});
		socket.once('close', () => {
			resolve(answer);
		});
		socket.once('error', reject);
		socket.write(text);
	});

const authorization = `Bearer ${embeddedCallerToken}`;

type Row = {
	name: string;
	path: string;
	headers: Record<string, string>;
	status: number;
	outcome: string;
};

const rows: Row[] = [
	{
		name: 'a request by route',
		path: '/s/quoting/quote?a=1',
		headers: {authorization},
		status: 200,
		outcome: 'ran',
	},
	{
		name: 'a request by header',
		path: '/quote',
		headers: {authorization, 'gullstand-service': 'quoting'},
		status: 200,
		outcome: 'ran',
	},
	{
		name: 'no token',
		path: '/s/quoting/quote',
		headers: {},
		status: 401,
		outcome: 'not-run',
	},
	{
		name: 'wrong token',
		path: '/s/quoting/quote',
		headers: {authorization: 'Bearer wrong'},
		status: 401,
		outcome: 'not-run',
	},
	{
		name: 'another customer',
		path: '/s/quoting/quote',
		headers: {authorization, 'gullstand-customer': 'someone'},
		status: 403,
		outcome: 'not-run',
	},
	{
		name: 'unknown service',
		path: '/s/nothing/',
		headers: {authorization},
		status: 404,
		outcome: 'not-run',
	},
	{
		name: 'bad deadline',
		path: '/s/quoting/',
		headers: {authorization, 'gullstand-deadline-ms': '1e3'},
		status: 400,
		outcome: 'not-run',
	},
	{
		name: 'bad class',
		path: '/s/quoting/',
		headers: {authorization, 'gullstand-class': 'gold'},
		status: 400,
		outcome: 'not-run',
	},
];

tap.t.test('answers by the error table', async (t) => {
	const daemon = await startDaemon(t);
	const url = `http://127.0.0.1:${daemon.getCallerPort()}`;
	for (const row of rows) {
		const res = await request(new URL(row.path, url), {headers: row.headers});
		const text = await res.body.text();
		t.equal(res.statusCode, row.status, row.name);
		t.equal(res.headers['gullstand-outcome'], row.outcome, row.name);
		t.notMatch(text, /demo-caller-token/v);
	}
});

const head = `POST /s/quoting/ HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n`;

const malformed: Array<[name: string, text: string, status: number]> = [
	[
		'both length headers',
		`${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
		400,
	],
	['bad chunk', `${head}transfer-encoding: chunked\r\n\r\nzz\r\n`, 400],
	[
		'two lengths',
		`${head}content-length: 1\r\ncontent-length: 2\r\n\r\nab`,
		400,
	],
	['large header', `${head}x: ${'x'.repeat(20_000)}\r\n\r\n`, 431],
	['an unfinished header', head, 408],
	['an unfinished body', `${head}content-length: 5\r\n\r\nab`, 408],
	['no HTTP', 'SSH-2.0-x\r\n\r\n', 400],
	['null in a header', `${head}x: \0\r\n\r\n`, 400],
	['large body', `${head}content-length: 99999999\r\n\r\n`, 413],
];

tap.t.test('refuses malformed requests and keeps serving', async (t) => {
	const limits = {headersTimeoutMs: 200, requestTimeoutMs: 400};
	const daemon = await startDaemon(t, limits);
	const port = daemon.getCallerPort();
	for (const [name, text, status] of malformed) {
		const answer = await sendRaw(port, text);
		t.match(answer, new RegExp(`^HTTP/1\\.1 ${status} `, 'v'), name);
		t.match(answer, /gullstand-outcome: not-run/v, name);
	}

	const res = await request(`http://127.0.0.1:${port}/s/quoting/`, {
		headers: {authorization},
	});
	t.equal(res.statusCode, 200);
	await res.body.arrayBuffer();
});

tap.t.test('limits the buffered bytes of request bodies', async (t) => {
	const daemon = await startDaemon(t, {maxBufferedBytes: 100});
	const url = `http://127.0.0.1:${daemon.getCallerPort()}/s/quoting/`;
	for (const [bytes, status] of [
		[101, 503],
		[100, 200],
		[100, 200],
	] as const) {
		const res = await request(url, {
			method: 'POST',
			headers: {authorization},
			body: 'x'.repeat(bytes),
		});
		await res.body.arrayBuffer();
		t.equal(res.statusCode, status, `${bytes} bytes`);
	}
});
