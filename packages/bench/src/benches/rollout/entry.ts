/** One entry: polls, takes offers, acknowledges. */
import * as core from '@gullstand/core';
import type {followedView, viewChange} from '@gullstand/core';
import {getHeartbeatBytes} from '../agreement/heartbeat-bytes.js';
import {
	counterBytes,
	send,
	waitWhilePaused,
	type Entry,
	type Simulation,
} from './simulation.js';

/** Tells those who wait for it what is in force. */
export const sendAcknowledgements = (world: Simulation, entry: Entry) => {
	const {view} = entry.followed;
	entry.sequence += 1;
	const router = {routedRevision: view.revision, inFlight: new Map()};
	const ack = core.acknowledgement.createAcknowledgement(
		entry.incarnation,
		entry.sequence,
		{view, router},
	);
	entry.receivedAcknowledgements.set(ack.entry, ack);
	for (const index of entry.awaitedBy) {
		const peer = world.nodes[index]!;
		void send(world, peer, JSON.stringify(ack).length, () => {
			const known = peer.receivedAcknowledgements.get(ack.entry);
			peer.receivedAcknowledgements.set(
				ack.entry,
				known
					? core.acknowledgement.chooseNewerAcknowledgement(known, ack)
					: ack,
			);
		});
	}
};

const countReverted = (
	before: followedView.FollowedView,
	after: followedView.FollowedView,
): number => {
	let count = after.view.revision < before.view.revision ? 1 : 0;
	for (const [customer, {weight}] of before.view.contracts) {
		const next = after.view.contracts.get(customer);
		count += !next || next.weight < weight ? 1 : 0;
	}

	return count;
};

/** Puts deltas in force. */
export const applyDeltas = (
	world: Simulation,
	entry: Entry,
	deltas: readonly viewChange.ViewDelta[],
) => {
	const before = entry.followed;
	const {followed, applied, refusal} = core.followedView.applyDeltas(
		before,
		deltas,
	);
	entry.followed = followed;
	entry.reverted += countReverted(before, followed);
	if (applied.length > 0) {
		sendAcknowledgements(world, entry);
	}

	if (refusal?.kind === 'gap') {
		void poll(world, entry);
	}
};

const readLog = async (world: Simulation, entry: Entry) => {
	world.counts.reads += 1;
	const {revision} = entry.followed.view;
	const deltas = await world.link(() => world.log.slice(revision));
	if (deltas.ok) {
		world.counts.storeBytes += JSON.stringify(deltas.value).length;
		await waitWhilePaused(world, entry);
		applyDeltas(world, entry, deltas.value);
	}
};

const poll = async (world: Simulation, entry: Entry) => {
	if (entry.isPolling) {
		return;
	}

	entry.isPolling = true;
	world.counts.reads += 1;
	world.counts.storeBytes += counterBytes;
	const {link, log} = world;
	const reply = await link(() => log.length);
	const applied = entry.followed.view.revision;
	if (reply.ok) {
		const verdict = core.readCheck.checkReadRevision(
			applied,
			applied,
			reply.value,
		);
		if (verdict.kind === 'newer') {
			await readLog(world, entry);
		}
	}

	entry.isPolling = false;
};

/** Starts the periodic work of an entry. */
export const startEntry = (world: Simulation, entry: Entry) => {
	const {clock, random, counts} = world;
	const periods = core.periods.getPeriods(world.entries);
	const heartbeatBytes = getHeartbeatBytes(world.entries);
	const repeat = async (periodMs: number, step: () => Promise<void>) => {
		await clock.sleep(random() * periodMs);
		while (!world.isDone) {
			await waitWhilePaused(world, entry);
			await step();
			await clock.sleep(periodMs * (0.75 + 0.5 * random()));
		}
	};

	void repeat(periods.viewPollMs, async () => poll(world, entry));
	void repeat(periods.heartbeatMs, async () => {
		counts.writes += 1;
		counts.storeBytes += heartbeatBytes;
	});
	void repeat(periods.watchMs, async () => {
		const neighbours = Math.min(
			core.monitoredPeers.monitoredPeerCount,
			world.entries - 1,
		);
		// The membership row is read with them.
		counts.reads += neighbours + 1;
		counts.storeBytes += neighbours * heartbeatBytes + counterBytes;
	});
};
