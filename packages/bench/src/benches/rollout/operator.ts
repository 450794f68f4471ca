/** Concurrent operators, and the wait until a change is in force. */
import * as core from '@gullstand/core';
import type {Contract, registration, viewChange} from '@gullstand/core';
import {drawBelow, drawExponential} from '../../frame/random.js';
import {applyDeltas, sendAcknowledgements} from './entry.js';
import {
	createContract,
	send,
	type Entry,
	type Simulation,
} from './simulation.js';

/** Customers whose contracts are changed. */
export const customers = ['north', 'south', 'east', 'west', 'centre'];

/** Creates the row of an entry that has acknowledged nothing. */
export const createRegistration = ({
	incarnation,
}: Entry): registration.Registration => ({
	address: '',
	availabilityZone: '',
	upMs: 0,
	heard: [],
	quorum: [],
	acknowledged: {...incarnation, sequence: 0, inForce: 0, holding: []},
});

const isInForce = (
	{registrations}: Simulation,
	{receivedAcknowledgements}: Entry,
	revision: number,
): boolean =>
	core.pendingAcknowledgements.listPendingAcknowledgements(
		registrations,
		receivedAcknowledgements,
		{revision},
	).length === 0;

/** Resends a change to the peers until all have acknowledged it. */
const announce = async (
	simulation: Simulation,
	index: number,
	delta: viewChange.ViewDelta,
) => {
	const {clock, nodes} = simulation;
	const entry = nodes[index]!;
	const acceptedAt = clock.now();
	let sentAt = Number.NEGATIVE_INFINITY;
	applyDeltas(simulation, entry, [delta]);
	while (!isInForce(simulation, entry, delta.revision)) {
		if (clock.now() - sentAt >= resendMs) {
			sentAt = clock.now();
			const bytes = JSON.stringify(delta).length;
			for (const peer of listPendingPeers(simulation, entry, delta.revision)) {
				void send(simulation, peer, bytes, () => {
					peer.awaitedBy.add(index);
					applyDeltas(simulation, peer, [delta]);
					sendAcknowledgements(simulation, peer);
				});
			}
		}

		// Checks with a resolution of 2 % of the elapsed time, at least 1 ms.
		await clock.sleep(Math.max(1, (clock.now() - acceptedAt) / 50));
	}

	simulation.inForceMs.push(clock.now() - acceptedAt);
	for (const peer of nodes) {
		peer.awaitedBy.delete(index);
	}
};

const resendMs = 500;

const listPendingPeers = (
	{nodes}: Simulation,
	entry: Entry,
	revision: number,
) =>
	nodes.filter(
		(peer) =>
			peer !== entry &&
			(entry.receivedAcknowledgements.get(peer.incarnation.entry)?.inForce ??
				0) < revision,
	);

type Attempt = 'accepted' | 'refused' | 'unknown';

/** Attempts one change; a conflict on the contract row refuses it. */
const commit = async (
	simulation: Simulation,
	id: string,
	customer: string,
): Promise<Attempt> => {
	const {data, link, log, counts} = simulation;
	counts.reads += 1;
	const read = await link(() => data.read<Contract>('contract', customer)!);
	if (!read.ok) {
		return 'refused';
	}

	const contract = createContract(customer, read.value.value.weight + 1);
	const when = {kind: 'version', version: read.value.version} as const;
	counts.writes += 1;
	const reply = await link(() => {
		// The log is updated with the row, in one transaction.
		const isCommitted = data.commit([
			{kind: 'put', table: 'contract', key: customer, value: contract, when},
		]);
		if (isCommitted) {
			log.push({
				revision: log.length + 1,
				id,
				previousId: log.at(-1)?.id ?? '',
				author: 'ann',
				committedAt: simulation.clock.now(),
				changes: [{kind: 'put-contract', contract}],
			});
		}

		return isCommitted;
	});
	if (!reply.ok) {
		return 'unknown';
	}

	return reply.value ? 'accepted' : 'refused';
};

const readBack = async (
	simulation: Simulation,
	id: string,
): Promise<Attempt> => {
	for (;;) {
		simulation.counts.reads += 1;
		const found = await simulation.link(() =>
			simulation.log.some((delta) => delta.id === id),
		);
		if (found.ok) {
			return found.value ? 'accepted' : 'refused';
		}
	}
};

/** Changes contracts until enough changes are accepted. */
export const runOperator = async (simulation: Simulation, name: number) => {
	const {clock, random, acceptedIds, counts, log} = simulation;
	for (let index = 0; acceptedIds.size < simulation.changes; index += 1) {
		await clock.sleep(drawExponential(random, simulation.meanGapMs));
		const id = `o${name}-${index}`;
		const customer = customers[drawBelow(random, customers.length)]!;
		const attempt = await commit(simulation, id, customer);
		const outcome =
			attempt === 'unknown' ? await readBack(simulation, id) : attempt;
		if (outcome === 'refused') {
			counts.refused += 1;
			continue;
		}

		acceptedIds.add(id);
		const delta = log.find((each) => each.id === id)!;
		void announce(
			simulation,
			drawBelow(random, simulation.nodes.length),
			delta,
		);
	}
};
