/** Worker thread with one gateway; reports its processor time and heap. */
import {writeFile} from 'node:fs/promises';
import {Session} from 'node:inspector/promises';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {parentPort, workerData} from 'node:worker_threads';
import {startGullstandGateway} from './gullstand-gateway.js';
import type {GatewayData, GatewayCommand, Ready, Usage} from './messages.js';
import {startPlainGateway} from './plain-gateway.js';

const {kind, upstreamPorts, profileFile} = workerData as GatewayData;

const startProfile = async (): Promise<Session> => {
	const session = new Session();
	session.connect();
	await session.post('Profiler.enable');
	await session.post('Profiler.start');
	return session;
};

const saveProfile = async (session: Session, file: string) => {
	const {profile} = await session.post('Profiler.stop');
	await writeFile(file, JSON.stringify(profile));
};

const getUsage = (): Usage => {
	const {active} = performance.eventLoopUtilization();
	return {cpuMs: active, heapBytes: process.memoryUsage().heapUsed};
};

const start = kind === 'plain' ? startPlainGateway : startGullstandGateway;
const {port} = await start(upstreamPorts);
const session = profileFile === undefined ? undefined : await startProfile();

parentPort?.on('message', async (command: GatewayCommand) => {
	if (command === 'usage') {
		parentPort?.postMessage(getUsage());
		return;
	}

	if (session && profileFile !== undefined) {
		await saveProfile(session, profileFile);
	}

	process.exit(0);
});
const ready: Ready = {ports: [port]};
parentPort?.postMessage(ready);
