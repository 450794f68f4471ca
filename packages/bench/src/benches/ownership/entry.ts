/** One incarnation of an entry: follows the view, routes, acknowledges. */
import * as core from '@gullstand/core';
import type {
	acknowledgement,
	followedView,
	registration,
	membershipStatus,
	viewChange,
} from '@gullstand/core';
import {drawExponential} from '../../frame/random.js';
import {
	drawHopMs,
	isConnected,
	isListed,
	pick,
	runAtExecutor,
	waitWhilePaused,
	type EntryHost,
	type Simulation,
} from './simulation.js';

const settings = core.membershipStatus.membershipDefaults;

const heartbeatMs = 2000;

const pollMs = 500;

const listPollMs = 3000;

const meanRequestGapMs = 60;

const stallShare = 0.005;

/** State of one incarnation of an entry. */
export type EntryState = {
	readonly host: EntryHost;
	readonly life: acknowledgement.EntryIncarnation;
	readonly startedAt: number;
	followed: followedView.FollowedView;
	standing: membershipStatus.MembershipStatus;
	rowVersion: number;
	sequence: number;
	readonly inFlight: Map<string, number>;
	isRegistered: boolean;
	lastSent: string;
};

const createRegistration = (
	simulation: Simulation,
	state: EntryState,
): registration.Registration => {
	state.sequence += 1;
	const {view} = state.followed;
	const now = simulation.clock.now();
	const router = {
		routedRevision: view.revision,
		inFlight: state.inFlight,
		mayInherit:
			state.host.incarnation > 1 &&
			now - state.startedAt < settings.longestRequestMs,
	};
	return {
		address: '',
		availabilityZone: '',
		heard: simulation.hosts
			.filter((each) => now - each.lastHeardAt <= settings.forgetAfterMs)
			.map(({entry}) => entry),
		upMs: now - state.startedAt,
		quorum: simulation.hosts.map(({entry}) => entry),
		acknowledged: core.acknowledgement.createAcknowledgement(
			state.life,
			state.sequence,
			{view, router},
		),
	};
};

/** Sends the acknowledgement to the movers if it has changed. */
const sendAcknowledgement = async (
	simulation: Simulation,
	state: EntryState,
) => {
	if (!state.isRegistered || !isConnected(simulation, state.host)) {
		return;
	}

	const {acknowledged} = createRegistration(simulation, state);
	const {inForce, holding} = acknowledged;
	const text = `${inForce} ${holding.toSorted().join(' ')}`;
	if (text === state.lastSent) {
		return;
	}

	state.lastSent = text;
	await simulation.clock.sleep(drawHopMs(simulation.random));
	if (isConnected(simulation, state.host) && simulation.random() > 0.02) {
		const known = simulation.receivedAcknowledgements.get(state.life.entry);
		const isNewIncarnation = known?.incarnation !== state.life.incarnation;
		simulation.receivedAcknowledgements.set(
			state.life.entry,
			isNewIncarnation
				? acknowledged
				: core.acknowledgement.chooseNewerAcknowledgement(known, acknowledged),
		);
	}
};

const applyDeltas = (
	simulation: Simulation,
	state: EntryState,
	deltas: readonly viewChange.ViewDelta[],
) => {
	state.followed = core.followedView.applyDeltas(
		state.followed,
		deltas,
	).followed;
	void sendAcknowledgement(simulation, state);
};

const readLog = async (simulation: Simulation, state: EntryState) => {
	const reply = await simulation.link(
		() => simulation.log.slice(state.followed.view.revision),
		() => isConnected(simulation, state.host),
	);
	if (reply.ok) {
		applyDeltas(simulation, state, reply.value);
	}
};

const register = async (
	simulation: Simulation,
	state: EntryState,
): Promise<boolean> => {
	await readLog(simulation, state);
	const reply = await simulation.link(
		() => simulation.store.read('counter', core.singleRowKey)!,
		() => isConnected(simulation, state.host),
	);
	const {revision} = state.followed.view;
	if (!reply.ok || reply.value.value !== revision) {
		return false;
	}

	const askedAt = simulation.clock.now();
	const row = createRegistration(simulation, state);
	const writes = core.registration.registerEntry(row, {
		revision,
		counterVersion: reply.value.version,
	});
	const {entry} = state.life;
	const committed = await simulation.link(
		() =>
			simulation.store.commit(writes) && simulation.store.read('entry', entry),
		() => isConnected(simulation, state.host),
	);
	if (!committed.ok || !committed.value) {
		return false;
	}

	state.rowVersion = committed.value.version;
	state.standing = core.membershipStatus.changeMode('registered', askedAt);
	state.isRegistered = true;
	return true;
};

/** Reads the row back after a lost reply to learn if the write was made. */
const readBack = async (
	simulation: Simulation,
	state: EntryState,
	askedAt: number,
) => {
	const {entry, incarnation} = state.life;
	const reply = await simulation.link(
		() => simulation.store.read<registration.Registration>('entry', entry),
		() => isConnected(simulation, state.host),
	);
	if (!reply.ok) {
		return;
	}

	const row = reply.value;
	if (row?.value.acknowledged.incarnation !== incarnation) {
		state.isRegistered = false;
		return;
	}

	if (row.version !== state.rowVersion) {
		state.rowVersion = row.version;
		confirm(simulation, state, 'table', askedAt);
	}
};

const confirm = (
	{clock}: Simulation,
	state: EntryState,
	source: membershipStatus.ConfirmationSource,
	askedAt: number,
) => {
	state.standing = core.membershipStatus.confirmMembership(
		state.standing,
		source,
		{askedAt, answeredAt: clock.now()},
		settings,
	);
};

const renew = async (simulation: Simulation, state: EntryState) => {
	const askedAt = simulation.clock.now();
	const writes = core.registration.renewRegistration(
		createRegistration(simulation, state),
		state.rowVersion,
	);
	const {entry} = state.life;
	const reply = await simulation.link(
		() =>
			simulation.store.commit(writes) && simulation.store.read('entry', entry),
		() => isConnected(simulation, state.host),
	);
	if (reply.ok && reply.value) {
		state.rowVersion = reply.value.version;
		confirm(simulation, state, 'table', askedAt);
	} else {
		await readBack(simulation, state, askedAt);
	}
};

const send = async (simulation: Simulation, state: EntryState) => {
	const {view} = state.followed;
	const {pool} = pick(simulation.random, [...view.instances.values()]);
	const serving = [...view.instances.values()].filter(
		(each) => each.pool === pool && each.state === 'serving',
	);
	if (serving.length === 0) {
		return;
	}

	const {id} = pick(simulation.random, serving);
	state.inFlight.set(id, (state.inFlight.get(id) ?? 0) + 1);
	if (simulation.random() < stallShare) {
		await simulation.clock.sleep(simulation.random() * settings.stallMarginMs);
	}

	await simulation.clock.sleep(drawHopMs(simulation.random));
	const isLong = simulation.random() < 0.01;
	const meanMs = isLong ? 1000 : 20;
	const serviceMs = Math.min(
		drawExponential(simulation.random, meanMs),
		settings.longestRequestMs - settings.stallMarginMs,
	);
	if (state.host.isUp) {
		await runAtExecutor(simulation, id, pool, serviceMs);
	}

	if (await waitWhilePaused(simulation, state.host, state.host.incarnation)) {
		state.inFlight.set(id, state.inFlight.get(id)! - 1);
		void sendAcknowledgement(simulation, state);
	}
};

/** Repeats a step until the incarnation ends. */
const repeat = async (
	simulation: Simulation,
	state: EntryState,
	getGapMs: () => number,
	step: () => void | Promise<void>,
) => {
	const {incarnation} = state.host;
	while (
		!simulation.isDone &&
		(await waitWhilePaused(simulation, state.host, incarnation))
	) {
		await step();
		await simulation.clock.sleep(getGapMs());
	}
};

/** Starts the next incarnation of an entry. */
export const startEntry = (
	simulation: Simulation,
	host: EntryHost,
): EntryState => {
	host.incarnation += 1;
	host.isUp = true;
	const {random, clock} = simulation;
	const state: EntryState = {
		host,
		life: {entry: host.entry, incarnation: String(host.incarnation)},
		startedAt: clock.now(),
		followed: core.followedView.emptyFollowedView,
		standing: core.membershipStatus.changeMode(
			'registered',
			Number.NEGATIVE_INFINITY,
		),
		rowVersion: 0,
		sequence: 0,
		inFlight: new Map(),
		isRegistered: false,
		lastSent: '',
	};
	host.receiveDelta = (delta) => {
		if (host.pausedUntil <= clock.now()) {
			applyDeltas(simulation, state, [delta]);
		}
	};

	const jitter = (ms: number) => () => ms * (0.8 + 0.4 * random());
	void repeat(simulation, state, jitter(heartbeatMs), async () => {
		if (state.isRegistered) {
			await renew(simulation, state);
		}
	});
	void repeat(simulation, state, jitter(pollMs), async () => {
		await (state.isRegistered
			? readLog(simulation, state)
			: register(simulation, state));
	});
	void repeat(simulation, state, jitter(listPollMs), () => {
		const askedAt = clock.now();
		if (isConnected(simulation, host)) {
			host.lastHeardAt = askedAt;
			if (isListed(simulation, host)) {
				confirm(simulation, state, 'list', askedAt);
			}
		}
	});
	void repeat(
		simulation,
		state,
		() => drawExponential(random, meanRequestGapMs),
		() => {
			const now = clock.now();
			if (
				state.isRegistered &&
				core.membershipStatus.mayRoute(state.standing, settings, now)
			) {
				void send(simulation, state);
			}
		},
	);
	return state;
};
