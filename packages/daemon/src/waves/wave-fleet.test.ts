/** Runs a wave over three daemons on one platform, with load over sockets. */
import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import type {waves} from '@gullstand/core';
import type {MemoryInstanceList} from '@gullstand/ports';
import * as tap from 'tap';
import {request} from 'undici';
import {agreementDefaults} from '../agreement/agreement.js';
import {createDaemon, type Daemon} from '../daemon.js';
import {
	embeddedCallerToken,
	startEmbeddedPlatform,
} from '../embedded/embedded-platform.js';
import {
	createEmbeddedSettings,
	embeddedOperatorToken,
} from '../embedded/embedded-settings.js';
import {createLogger} from '../log/logger.js';

const now = () => performance.now();
const waveTimeoutMs = 60_000;

const times = {
	...agreementDefaults,
	viewPollMs: 100,
	heartbeatMs: 100,
	listPollMs: 100,
	acknowledgeMs: 10,
	shardPollMs: 100,
	callTimeoutMs: 500,
};

const startFleet = async (t: tap.Test) => {
	const {platform, close} = await startEmbeddedPlatform(now);
	const list = platform.list as MemoryInstanceList;
	const daemons: Daemon[] = [];
	t.teardown(async () => {
		await Promise.all(daemons.map(async (each) => each.stop()));
		await close();
	});
	for (const id of ['e1', 'e2', 'e3']) {
		const base = createEmbeddedSettings();
		const settings = {
			...base,
			entry: {...base.entry, id},
			peers: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
		};
		const logger = createLogger(settings.log, id, new PassThrough().resume());
		const daemon = createDaemon({
			settings,
			platform,
			logger,
			now,
			agreementTimes: times,
		});
		await daemon.start((err) => {
			throw err;
		});
		list.set({
			id,
			role: 'entry',
			address: daemon.agreement.peers.getAddress(),
			availabilityZone: 'zone-1',
			state: 'live',
			incarnation: `${id}-1`,
		});
		daemons.push(daemon);
	}

	return {platform, daemons};
};

const callOperatorApi = async (
	daemon: Daemon,
	method: 'PUT' | 'POST' | 'GET',
	path: string,
	body?: object,
) => {
	const res = await request(
		`http://127.0.0.1:${daemon.getOperatorPort()}/v1/waves/w${path}`,
		{
			method,
			headers: {
				authorization: `Bearer ${embeddedOperatorToken}`,
				'content-type': 'application/json',
			},
			body: body ? JSON.stringify(body) : null,
		},
	);
	return {status: res.statusCode, body: (await res.body.json()) as object};
};

const startCallers = (daemons: readonly Daemon[]) => {
	const state = {isStopped: false, answers: 0, errors: [] as string[]};
	const callers = daemons.map(async (daemon) => {
		const url = `http://127.0.0.1:${daemon.getCallerPort()}/s/quoting/quote`;
		while (!state.isStopped) {
			const res = await request(url, {
				headers: {authorization: `Bearer ${embeddedCallerToken}`},
			});
			const text = await res.body.text();
			state.answers += 1;
			if (res.statusCode !== 200) {
				state.errors.push(`${res.statusCode} ${text}`);
			}
		}
	});
	const stop = async () => {
		state.isStopped = true;
		await Promise.all(callers);
	};

	return {state, stop};
};

const holdsWaves = (daemon: Daemon) =>
	daemon.agreement.leases.getHeld('fleet') !== undefined;

type Status = {wave: waves.Wave; counts: waves.Progress['counts']};

tap.t.test(
	'another entry continues a wave after its holder stops',
	async (t) => {
		const {platform, daemons} = await startFleet(t);
		const [first] = daemons;
		const plan = {pools: ['quoting'], hours: 1};
		t.match(await callOperatorApi(first!, 'PUT', '', plan), {status: 200});
		t.match(await callOperatorApi(first!, 'POST', '/start'), {status: 200});
		const deadline = now() + waveTimeoutMs;
		let mostAway = 0;
		let remaining: readonly Daemon[] = daemons;
		let callers = startCallers(daemons);
		let status: Status | undefined;
		while (status?.wave.state !== 'done' && now() < deadline) {
			const answer = await callOperatorApi(remaining[0]!, 'GET', '');
			status = answer.body as Status;
			const rows = await platform.table.range({
				table: 'instance',
				prefix: 'quoting',
				limit: 10,
			});
			const away = rows.ok
				? rows.value.filter(
						({value}) => (value as {state: string}).state !== 'serving',
					).length
				: 0;
			mostAway = Math.max(mostAway, away);
			const holder = daemons.find((each) => holdsWaves(each));
			if (remaining === daemons && status.counts.taken > 0 && holder) {
				await callers.stop();
				t.same(callers.state.errors, []);
				remaining = daemons.filter((each) => each !== holder);
				await holder.stop();
				callers = startCallers(remaining);
			}

			await wait(20);
		}

		await callers.stop();
		t.equal(remaining.length, 2, 'the holder was stopped in mid-wave');
		t.match(status, {wave: {state: 'done'}, counts: {done: 3}});
		t.equal(mostAway, 1);
		t.same(callers.state.errors, []);
		t.ok(callers.state.answers > 0);
	},
);
