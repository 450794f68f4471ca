/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * The platform's answers about machines are slow while a wave begins, and a more
 * capable daemon, which was added, takes over the control of the machines. The
 * orders of two holders for one machine must be `leaseMs` apart.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createWorld, hasTrouble, runCase, waitUntil} from './world.mjs';

const leaseMs = 3000;

const slowMs = 1000;

const services = ['quoting', 'claims', 'plant', 'delegated', 'admin'];

let isSlow = false;

/** Passes calls on at once and holds the answers back while `isSlow`. */
const openMachinesPath = async (address) => {
	const [host, port] = address.split(':');
	const server = createServer(async (req, res) => {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const until = performance.now() + (isSlow ? slowMs : 0);
		const passed = request(
			{host, port, method: req.method, path: req.url, headers: req.headers},
			async (answer) => {
				const body = [];
				for await (const chunk of answer) {
					body.push(chunk);
				}

				await delay(Math.max(0, until - performance.now()));
				res.writeHead(answer.statusCode, {'content-type': 'application/json'});
				res.end(Buffer.concat(body));
			},
		);
		passed.on('error', () => {
			res.destroy();
		});
		passed.end(Buffer.concat(chunks));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${server.address().port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

const world = await createWorld({
	daemons: 2,
	countAtStart: 1,
	services: services.map((name) => ({name, executors: 7})),
	queues: services.map((service) => ({
		name: `r-${service}`,
		pathPrefix: `/${service}/`,
		service,
	})),
	adaptSettings: (text, name) =>
		text.replace(
			/^coreShare = .*$/mv,
			name === 'front-1' ? 'coreShare = 0.324' : 'coreShare = 1.0',
		),
	openMachinesPath,
});
const {events, note, now} = world.record;

const findBreaks = () => {
	const orders = events.filter(({kind}) => kind === 'machine ordered');
	return orders.flatMap((order, index) => {
		const before = orders
			.slice(0, index)
			.findLast(({machine}) => machine === order.machine);
		const apartMs = before ? order.atMs - before.atMs : Infinity;
		return before && before.holder !== order.holder && apartMs < leaseMs
			? [
					`${order.machine} ${before.holder} then ${order.holder} ${apartMs} ms apart`,
				]
			: [];
	});
};

await runCase(world, async () => {
	await delay(5000);
	const [, added] = world.daemons;
	note({kind: 'daemon added', daemon: added.name});
	added.start();
	const addedAt = now();
	await delay(350);
	const machines = world.executors.slice(0, 18).map(({machine}) => machine);
	isSlow = hasTrouble;
	note({kind: 'wave requested', machines, isSlow});
	world.store.put('op', 'wave/1', {wave: 1, machines, durationS: 26, cap: 18});
	await waitUntil(
		() => events.some(({kind}) => kind === 'machine ordered'),
		5000,
	);
	await delay(slowMs + 700);
	isSlow = false;
	note({kind: 'no longer slow'});
	await delay(12_000);
	note({kind: 'state', wave: world.store.get('status', '', 'wave/1')});
	const breaks = findBreaks();
	note({kind: 'breaks', breaks, addedAt});
	return breaks.length > 0 ? breaks.join('; ') : undefined;
});
