/** Simulated entry: polls, applies deltas and acknowledges them. */
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

/** Sends the acknowledgement to the entries that wait for it. */
export const sendAcknowledgements = (simulation: Simulation, entry: Entry) => {
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
		const peer = simulation.nodes[index]!;
		void send(simulation, peer, JSON.stringify(ack).length, () => {
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

const countReversions = (
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

/** Applies deltas and acknowledges them. */
export const applyDeltas = (
	simulation: Simulation,
	entry: Entry,
	deltas: readonly viewChange.ViewDelta[],
) => {
	const before = entry.followed;
	const {followed, applied, refusal} = core.followedView.applyDeltas(
		before,
		deltas,
	);
	entry.followed = followed;
	entry.reverted += countReversions(before, followed);
	if (applied.length > 0) {
		sendAcknowledgements(simulation, entry);
	}

	if (refusal?.kind === 'gap') {
		void poll(simulation, entry);
	}
};

const readLog = async (simulation: Simulation, entry: Entry) => {
	simulation.counts.reads += 1;
	const {revision} = entry.followed.view;
	const deltas = await simulation.link(() => simulation.log.slice(revision));
	if (deltas.ok) {
		simulation.counts.storeBytes += JSON.stringify(deltas.value).length;
		await waitWhilePaused(simulation, entry);
		applyDeltas(simulation, entry, deltas.value);
	}
};

const poll = async (simulation: Simulation, entry: Entry) => {
	if (entry.isPolling) {
		return;
	}

	entry.isPolling = true;
	simulation.counts.reads += 1;
	simulation.counts.storeBytes += counterBytes;
	const {link, log} = simulation;
	const reply = await link(() => log.length);
	const applied = entry.followed.view.revision;
	if (reply.ok) {
		const verdict = core.readCheck.checkReadRevision(
			applied,
			applied,
			reply.value,
		);
		if (verdict.kind === 'newer') {
			await readLog(simulation, entry);
		}
	}

	entry.isPolling = false;
};

/** Starts the periodic work of an entry. */
export const startEntry = (simulation: Simulation, entry: Entry) => {
	const {clock, random, counts} = simulation;
	const periods = core.periods.getPeriods(simulation.entries);
	const heartbeatBytes = getHeartbeatBytes(simulation.entries);
	const repeat = async (periodMs: number, step: () => Promise<void>) => {
		await clock.sleep(random() * periodMs);
		while (!simulation.isDone) {
			await waitWhilePaused(simulation, entry);
			await step();
			await clock.sleep(periodMs * (0.75 + 0.5 * random()));
		}
	};

	void repeat(periods.viewPollMs, async () => poll(simulation, entry));
	void repeat(periods.heartbeatMs, async () => {
		counts.writes += 1;
		counts.storeBytes += heartbeatBytes;
	});
	void repeat(periods.watchMs, async () => {
		const monitored = Math.min(
			core.monitoredPeers.monitoredPeerCount,
			simulation.entries - 1,
		);
		// The membership row is read with the rows of the monitored peers.
		counts.reads += monitored + 1;
		counts.storeBytes += monitored * heartbeatBytes + counterBytes;
	});
};
