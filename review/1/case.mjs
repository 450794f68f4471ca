/**
 * A queue moves to another service while the store turns one machine away. A
 * job that was accepted after the move is sent once more, to that machine.
 */
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findRepeatedRuns} from '../lib/checks.mjs';
import {isTroubled, runCase} from '../lib/run-case.mjs';
import {createWorld} from '../lib/world.mjs';

const world = createWorld({
	directory: path.dirname(fileURLToPath(import.meta.url)),
	daemonCount: 5,
	services: {quoting: 6, claims: 6},
	routes: [{name: 'r-claims', pathPrefix: '/claims/', service: 'quoting'}],
	getWork: () => ({workMs: 1700, canCheckpoint: false}),
});

const body = {
	spec: 'a first notification',
	steps: [{count: 8, cpu: 3800, memMb: 5500, estimateMs: 1700}],
};

const earlierJob = '/claims/1111111111111111';

const job = '/claims/5c0e7a21d94b36f8';

/** The machine that the store turns away: one that holds no shard. */
const chooseMachine = () => {
	const holders = new Set(
		['service/quoting', 'service/claims', 'control/fleet'].map((shard) =>
			world.getOwner(shard),
		),
	);
	return world.names().find((name) => !holders.has(name));
};

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

await runCase(world, async () => {
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
	// One version removes the route, the next adds it for another service.
	world.writeConfiguration([]);
	await delay(500);
	world.writeConfiguration([
		{name: 'r-claims', pathPrefix: '/claims/', service: 'claims'},
	]);
	// More than `configApplyMs`, in which machines in touch take the manifest.
	await delay(2500);
	if ((await submit(other, job)) !== 200) {
		return undefined;
	}

	// The same request arrives again 1 s after its 2xx, on the open connection.
	await delay(1000);
	clearInterval(asking);
	const repeated = await submit(turnedAway, job);
	await delay(1500);
	world.note({kind: 'the store serves all machines'});
	world.store.serveAgain(turnedAway);
	await delay(5000);
	await ask(other, job);
	world.note({kind: 'answer to the repeat', status: repeated});
	return findRepeatedRuns(world.events);
});
