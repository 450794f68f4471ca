/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no type information for JavaScript where CI=true is set. */
/**
 * A queue moves to another service while a job of it is handed in. The job is
 * then accepted in both services. Two ways lead to it: the store carries out the
 * first submission late (`late`, the default), or it turns a machine away, which
 * keeps the old manifest (`WAY=stale`).
 */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findRepeatedRuns} from '../checks.mjs';
import {isTroubled, runCase} from '../run-case.mjs';
import {createWorld} from '../world.mjs';

/** A route that stays, so that no manifest is empty. */
const otherRoute = {
	name: 'r-quick',
	pathPrefix: '/quick/',
	service: 'quoting',
};

const world = createWorld({
	directory: path.dirname(fileURLToPath(import.meta.url)),
	daemonCount: 5,
	services: {quoting: 6, claims: 6},
	routes: [
		otherRoute,
		{name: 'r-claims', pathPrefix: '/claims/', service: 'quoting'},
	],
	getWork: () => ({workMs: 1700, canCheckpoint: false}),
});

const body = {
	spec: 'a first notification',
	steps: [{count: 8, cpu: 3800, memMb: 5500, estimateMs: 1700}],
};

const earlierJob = '/claims/1111111111111111';

const id = '5c0e7a21d94b36f8';

const job = `/claims/${id}`;

const submit = async (daemon, target) => {
	const answer = await world.call(daemon, 'POST', target, body);
	world.note({
		kind: 'POST',
		daemon,
		target,
		status: answer.status,
		isOpenConnection: answer.isReused,
	});
	return answer.status;
};

const ask = async (daemon, target) => {
	const answer = await world.call(daemon, 'GET', target);
	world.note({
		kind: 'GET',
		daemon,
		target,
		status: answer.status,
		state: answer.body?.state,
		isOpenConnection: answer.isReused,
	});
};

/** One version removes the route, the next adds it for another service. */
const moveQueue = async () => {
	world.writeConfiguration([otherRoute]);
	await delay(200);
	world.writeConfiguration([
		otherRoute,
		{name: 'r-claims', pathPrefix: '/claims/', service: 'claims'},
	]);
};

/** `platform_lost`, late: the write is done 4.5 s after its answer was lost. */
const playLate = async () => {
	// A machine that owns the service submits once; others would try again.
	const first = world.getOwner('service/quoting');
	const second = world.names().find((name) => name !== first);
	if ((await submit(first, earlierJob)) !== 200) {
		return undefined;
	}

	await delay(1000);
	let losses = 0;
	if (isTroubled) {
		world.store.loseWrites(({puts = []}) => {
			const isLost =
				losses === 0 &&
				puts.some(({table, key}) => table === 'job' && key === id);
			losses += isLost ? 1 : 0;
			return isLost;
		}, 4500);
	}

	const status = await submit(first, job);
	await moveQueue();
	// More than the manifest takes; the client's next try after a 504.
	await delay(500);
	const isAccepted =
		status === 200 || (status === 504 && (await submit(second, job)) === 200);
	if (!isAccepted) {
		return undefined;
	}

	await delay(9000);
	world.store.loseNoMore();
	await ask(second, job);
	return findRepeatedRuns(world.events);
};

/** The machine that the store turns away: one that holds no shard. */
const chooseMachine = () => {
	const holders = new Set(
		['service/quoting', 'service/claims', 'control/fleet'].map((shard) =>
			world.getOwner(shard),
		),
	);
	return world.names().find((name) => !holders.has(name));
};

/** `platform_down`, nodes reset: one machine keeps the old manifest. */
const playStale = async () => {
	const turnedAway = chooseMachine();
	const other = world.names().find((name) => name !== turnedAway);
	// A job before the move, and a connection that stays open to the machine.
	const isTaken = (await submit(turnedAway, earlierJob)) === 200;
	if (!isTaken || turnedAway === undefined) {
		return undefined;
	}

	// Its client asks for the state from time to time, on the open connection.
	const asking = setInterval(async () => ask(turnedAway, earlierJob), 1000);
	await delay(1000);
	if (isTroubled) {
		world.note({kind: 'the store turns a machine away', daemon: turnedAway});
		world.store.turnAway(turnedAway);
	}

	await delay(1000);
	await moveQueue();
	// More than `configApplyMs`, in which machines in touch take the manifest.
	await delay(2500);
	if ((await submit(other, job)) !== 200) {
		return undefined;
	}

	// The same request arrives again 1 s after its 2xx, on the open connection.
	await delay(1000);
	clearInterval(asking);
	await submit(turnedAway, job);
	await delay(1500);
	world.note({kind: 'the store serves all machines'});
	world.store.serveAgain(turnedAway);
	await delay(5000);
	await ask(other, job);
	return findRepeatedRuns(world.events);
};

await runCase(world, process.env.WAY === 'stale' ? playStale : playLate);
