/** Thread with small executors that answer at once. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import type {Ready} from './messages.js';

const answer = JSON.stringify({premium: 1234, currency: 'GBP'});

const startExecutor = async (): Promise<number> => {
	const server = createServer((req, res) => {
		req.resume();
		res.setHeader('content-type', 'application/json');
		res.setHeader('content-length', answer.length);
		res.end(answer);
	});
	server.keepAliveTimeout = 60_000;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

const {executors} = workerData as {executors: number};
const ports: number[] = [];
for (let index = 0; index < executors; index += 1) {
	ports.push(await startExecutor());
}

const ready: Ready = {ports};
parentPort?.postMessage(ready);
