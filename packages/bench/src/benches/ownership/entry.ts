/** One life of an entry: follows the view, routes, acknowledges. */
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

const stallPart = 0.005;

/** State of one life. */
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

const makeRegistration = (
	world: Simulation,
	state: EntryState,
): registration.Registration => {
	state.sequence += 1;
	const {view} = state.followed;
	const now = world.clock.now();
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
		heard: world.hosts
			.filter((each) => now - each.lastHeardAt <= settings.forgetAfterMs)
			.map(({entry}) => entry),
		upMs: now - state.startedAt,
		quorum: world.hosts.map(({entry}) => entry),
		acknowledged: core.acknowledgement.createAcknowledgement(
			state.life,
			state.sequence,
			{view, router},
		),
	};
};

/** Tells the movers what is in force, if it has changed. */
const sendAcknowledgement = async (world: Simulation, state: EntryState) => {
	if (!state.isRegistered || !isConnected(world, state.host)) {
		return;
	}

	const {acknowledged} = makeRegistration(world, state);
	const {inForce, holding} = acknowledged;
	const text = `${inForce} ${holding.toSorted().join(' ')}`;
	if (text === state.lastSent) {
		return;
	}

	state.lastSent = text;
	await world.clock.sleep(drawHopMs(world.random));
	if (isConnected(world, state.host) && world.random() > 0.02) {
		const known = world.receivedAcknowledgements.get(state.life.entry);
		const isNewLife = known?.incarnation !== state.life.incarnation;
		world.receivedAcknowledgements.set(
			state.life.entry,
			isNewLife
				? acknowledged
				: core.acknowledgement.chooseNewerAcknowledgement(known, acknowledged),
		);
	}
};

const applyDeltas = (
	world: Simulation,
	state: EntryState,
	deltas: readonly viewChange.ViewDelta[],
) => {
	state.followed = core.followedView.applyDeltas(
		state.followed,
		deltas,
	).followed;
	void sendAcknowledgement(world, state);
};

const readLog = async (world: Simulation, state: EntryState) => {
	const reply = await world.link(
		() => world.log.slice(state.followed.view.revision),
		() => isConnected(world, state.host),
	);
	if (reply.ok) {
		applyDeltas(world, state, reply.value);
	}
};

const register = async (
	world: Simulation,
	state: EntryState,
): Promise<boolean> => {
	await readLog(world, state);
	const reply = await world.link(
		() => world.store.read('counter', core.singleRowKey)!,
		() => isConnected(world, state.host),
	);
	const {revision} = state.followed.view;
	if (!reply.ok || reply.value.value !== revision) {
		return false;
	}

	const askedAt = world.clock.now();
	const row = makeRegistration(world, state);
	const writes = core.registration.registerEntry(row, {
		revision,
		counterVersion: reply.value.version,
	});
	const {entry} = state.life;
	const committed = await world.link(
		() => world.store.commit(writes) && world.store.read('entry', entry),
		() => isConnected(world, state.host),
	);
	if (!committed.ok || !committed.value) {
		return false;
	}

	state.rowVersion = committed.value.version;
	state.standing = core.membershipStatus.changeMode('registered', askedAt);
	state.isRegistered = true;
	return true;
};

/** After a lost reply the row itself tells whether the write was made. */
const readBack = async (
	world: Simulation,
	state: EntryState,
	askedAt: number,
) => {
	const {entry, incarnation} = state.life;
	const reply = await world.link(
		() => world.store.read<registration.Registration>('entry', entry),
		() => isConnected(world, state.host),
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
		confirm(state, 'table', askedAt);
	}
};

const confirm = (
	state: EntryState,
	source: membershipStatus.ConfirmationSource,
	askedAt: number,
) => {
	state.standing = core.membershipStatus.confirmMembership(
		state.standing,
		source,
		askedAt,
		settings,
	);
};

const renew = async (world: Simulation, state: EntryState) => {
	const askedAt = world.clock.now();
	const writes = core.registration.renewRegistration(
		makeRegistration(world, state),
		state.rowVersion,
	);
	const {entry} = state.life;
	const reply = await world.link(
		() => world.store.commit(writes) && world.store.read('entry', entry),
		() => isConnected(world, state.host),
	);
	if (reply.ok && reply.value) {
		state.rowVersion = reply.value.version;
		confirm(state, 'table', askedAt);
	} else {
		await readBack(world, state, askedAt);
	}
};

const send = async (world: Simulation, state: EntryState) => {
	const {view} = state.followed;
	const {pool} = pick(world.random, [...view.instances.values()]);
	const serving = [...view.instances.values()].filter(
		(each) => each.pool === pool && each.state === 'serving',
	);
	if (serving.length === 0) {
		return;
	}

	const {id} = pick(world.random, serving);
	state.inFlight.set(id, (state.inFlight.get(id) ?? 0) + 1);
	if (world.random() < stallPart) {
		await world.clock.sleep(world.random() * settings.stallMarginMs);
	}

	await world.clock.sleep(drawHopMs(world.random));
	const isLong = world.random() < 0.01;
	const meanMs = isLong ? 1000 : 20;
	const serviceMs = Math.min(
		drawExponential(world.random, meanMs),
		settings.longestRequestMs - settings.stallMarginMs,
	);
	if (state.host.isUp) {
		await runAtExecutor(world, id, pool, serviceMs);
	}

	if (await waitWhilePaused(world, state.host, state.host.incarnation)) {
		state.inFlight.set(id, state.inFlight.get(id)! - 1);
		void sendAcknowledgement(world, state);
	}
};

/** Runs a loop for as long as the life lasts. */
const repeat = async (
	world: Simulation,
	state: EntryState,
	getGapMs: () => number,
	step: () => void | Promise<void>,
) => {
	const {incarnation} = state.host;
	while (
		!world.isDone &&
		(await waitWhilePaused(world, state.host, incarnation))
	) {
		await step();
		await world.clock.sleep(getGapMs());
	}
};

/** Starts one life of an entry. */
export const startEntry = (world: Simulation, host: EntryHost): EntryState => {
	host.incarnation += 1;
	host.isUp = true;
	const {random, clock} = world;
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
			applyDeltas(world, state, [delta]);
		}
	};

	const jitter = (ms: number) => () => ms * (0.8 + 0.4 * random());
	void repeat(world, state, jitter(heartbeatMs), async () => {
		if (state.isRegistered) {
			await renew(world, state);
		}
	});
	void repeat(world, state, jitter(pollMs), async () => {
		await (state.isRegistered ? readLog(world, state) : register(world, state));
	});
	void repeat(world, state, jitter(listPollMs), () => {
		const askedAt = clock.now();
		if (isConnected(world, host)) {
			host.lastHeardAt = askedAt;
			if (isListed(world, host)) {
				confirm(state, 'list', askedAt);
			}
		}
	});
	void repeat(
		world,
		state,
		() => drawExponential(random, meanRequestGapMs),
		() => {
			const now = clock.now();
			if (
				state.isRegistered &&
				core.membershipStatus.mayRoute(state.standing, settings, now)
			) {
				void send(world, state);
			}
		},
	);
	return state;
};
