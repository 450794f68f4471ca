/**
 * The parts that keep entries in agreement: peer channel, view follower,
 * membership, shard leases, moves and the view's snapshot.
 */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {acknowledgement, membershipStatus} from '@gullstand/core';
import type {InstanceList, ObjectStore, TableService} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import {createForgetRunner} from '../membership/forget-runner.js';
import {createInFlight, type InFlight} from '../membership/in-flight.js';
import {createMember, type Member} from '../membership/member.js';
import {listPeerAddresses} from '../membership/outage-confirmation.js';
import {createMoveRunner, type MoveRunner} from '../moves/move-runner.js';
import {createPeerChannel, type PeerChannel} from '../peers/peer-channel.js';
import type {Settings} from '../settings/schema.js';
import {createLeaseRunner, type LeaseRunner} from '../shards/lease-runner.js';
import type {Part} from '../supervisor/supervisor.js';
import {createEnvironment} from '../view/environment.js';
import {createSnapshotWriter, readSnapshot} from '../view/snapshot-store.js';
import {createViewFollower, type ViewFollower} from '../view/view-follower.js';
import {restoreView} from '../view/view-image.js';
import {createElapsedClock} from './elapsed-clock.js';
import {createStartMarker} from './start-marker.js';

/** Periods and time limits, in milliseconds. */
export type AgreementTimes = {
	readonly viewPollMs: number;
	readonly heartbeatMs: number;
	readonly listPollMs: number;
	readonly acknowledgeMs: number;
	readonly leaseMs: number;
	readonly shardPollMs: number;
	readonly movePollMs: number;
	readonly snapshotMs: number;
	readonly callTimeoutMs: number;
	readonly membership: membershipStatus.MembershipSettings;
};

/** Returns the times for a fleet with this number of entries. */
export const getAgreementTimes = (entries: number): AgreementTimes => {
	const {viewPollMs, heartbeatMs, watchMs, leaseMs, membership} =
		core.periods.getPeriods(entries);
	return {
		viewPollMs,
		heartbeatMs,
		listPollMs: 3000,
		acknowledgeMs: 100,
		leaseMs,
		shardPollMs: watchMs,
		movePollMs: 200,
		snapshotMs: 1000,
		callTimeoutMs: 1000,
		membership,
	};
};

const defaultEntries = 9;

/** Times for a fleet of the default size. */
export const agreementDefaults: AgreementTimes =
	getAgreementTimes(defaultEntries);

/** Dependencies of agreement. */
export type AgreementDeps = {
	readonly settings: Pick<Settings, 'entry' | 'peers'>;
	readonly platform: {
		readonly table: TableService;
		readonly objects: ObjectStore;
		readonly list: InstanceList;
	};
	readonly times: AgreementTimes;
	readonly logger: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Applies a view to the routers. */
	readonly route: (view: core.View) => void;
};

/** The parts of agreement, in the order in which they start. */
export type Agreement = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly parts: readonly Part[];
	readonly peers: PeerChannel;
	readonly follower: ViewFollower;
	readonly member: Member;
	readonly leases: LeaseRunner;
	readonly moves: MoveRunner;
	/** Reads what is known of entries that start during an outage. */
	readonly readOutageStart: () => Promise<core.move.OutageStart>;
	/** Counts in-flight requests and blocks selections while isolated. */
	readonly inFlight: InFlight;
};

/** Shard of all work that belongs to no pool. */
export const fleetShard = 'fleet';

/** Fleet name in snapshots; those of another fleet are refused. */
export const fleetName = 'gullstand';

/** Time between two reads of the stored snapshot. */
const snapshotCheckMs = 10_000;

const getPoolShard = (pool: string): string => `pool:${pool}`;

const listShards = (view: core.View): readonly string[] => {
	const pools = [...view.services.values()].map(({pool}) => getPoolShard(pool));
	return [fleetShard, ...new Set(pools)];
};

/** Peer channel of an entry without peers. */
const createNullPeerChannel = (): PeerChannel => ({
	name: 'peers',
	async start() {
		// Nothing to start.
	},
	async stop() {
		// Nothing to stop.
	},
	addMethod() {
		// Methods are never called.
	},
	call: async () =>
		core.fail({kind: 'unreachable', message: 'no peers'} as const),
	getAddress: () => '',
	countRefused: () => 0,
});

const readPeerView = async (
	{platform, times}: AgreementDeps,
	peers: PeerChannel,
	self: {readonly entry: string; readonly incarnation: string},
) => {
	const {list} = platform;
	for (const address of await listPeerAddresses({list, self})) {
		const answer = await peers.call(
			address,
			'readView',
			{},
			times.callTimeoutMs,
		);
		if (answer.ok && answer.value.revision > 0) {
			return restoreView(answer.value);
		}
	}

	return undefined;
};

/** Creates the parts without starting them. */
export const createAgreement = (deps: AgreementDeps): Agreement => {
	const {settings, platform, times, logger} = deps;
	const {table, objects, list} = platform;
	const wallNow = () => Date.now();
	const now = createElapsedClock(deps.now, wallNow);
	const self = {entry: settings.entry.id, incarnation: randomUUID()};
	const peers = settings.peers
		? createPeerChannel({
				settings: settings.peers,
				self,
				now,
				wallNow,
				logger,
			})
		: createNullPeerChannel();

	const follower = createViewFollower(table, times.viewPollMs, {
		startSources: [
			{origin: 'peer', read: async () => readPeerView(deps, peers, self)},
			{
				origin: 'snapshot',
				async read() {
					const snapshot = await readSnapshot(objects, fleetName);
					return snapshot.ok ? snapshot.value : undefined;
				},
			},
		],
		onChange() {
			member.acknowledgeView();
		},
	});
	const {getView, getFollowed} = follower;
	const marker = createStartMarker({
		objects,
		fleet: fleetName,
		getRevision: () => getView().revision,
		waitMs: times.membership.forgetAfterMs,
		now,
	});
	const inFlight = createInFlight({
		mayRoute: () => member.mayRoute(),
		longestRequestMs: times.membership.longestRequestMs,
		now,
	});
	const member = createMember({
		self,
		availabilityZone: settings.entry.availabilityZone,
		table,
		list,
		peers,
		getFollowed,
		poll: follower.poll,
		offerDeltas: follower.offerDeltas,
		route: deps.route,
		getInFlight: inFlight.count,
		confirmSnapshot: marker.confirm,
		settings: times.membership,
		heartbeatMs: times.heartbeatMs,
		listPollMs: times.listPollMs,
		acknowledgeMs: times.acknowledgeMs,
		callTimeoutMs: times.callTimeoutMs,
		now,
		logger,
	});
	const leases = createLeaseRunner({
		self,
		table,
		mayControl: member.mayControl,
		getMembers: member.getMembers,
		listShards: () => listShards(getView()),
		leaseMs: times.leaseMs,
		pollMs: times.shardPollMs,
		now,
		logger,
	});
	const forgetRunner = createForgetRunner({
		self,
		table,
		list,
		mayControl: member.mayControl,
		getMembers: member.getMembers,
		getUnresponsiveMs: leases.getUnresponsiveMs,
		settings: times.membership,
		leaseMs: times.leaseMs,
		pollMs: times.shardPollMs,
		now,
		logger,
	});
	const moves = createMoveRunner({
		table,
		getHeldFor(instance) {
			const pool = getView().instances.get(instance)?.pool ?? '';
			const shard = getPoolShard(pool);
			const isShard = listShards(getView()).includes(shard);
			return leases.getHeld(isShard ? shard : fleetShard);
		},
		getReceivedAcknowledgements: member.getReceivedAcknowledgements,
		getFollowed,
		readOutageStart: marker.read,
		announce: member.announce,
		pollMs: times.movePollMs,
		logger,
	});
	const snapshotWriter = createSnapshotWriter({
		objects,
		fleet: fleetName,
		getFollowed,
		getToken: () => leases.getHeld(fleetShard)?.token,
		env: createEnvironment(),
		minWriteMs: times.snapshotMs,
		checkMs: snapshotCheckMs,
	});
	return {
		self,
		parts: [
			peers,
			follower,
			member,
			leases,
			forgetRunner,
			moves,
			snapshotWriter,
		],
		peers,
		follower,
		member,
		leases,
		moves,
		readOutageStart: marker.read,
		inFlight,
	};
};
