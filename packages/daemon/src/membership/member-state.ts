/** State of this entry's membership and what it knows of its peers. */
import type {
	acknowledgement,
	followedView,
	membershipStatus,
	View,
	viewChange,
} from '@gullstand/core';
import type {InstanceList, TableService} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import type {PeerChannel} from '../peers/peer-channel.js';
import type {MembershipRows} from './membership-rows.js';

/** Dependencies of membership. */
export type MemberDeps = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly availabilityZone: string;
	readonly table: TableService;
	readonly list: InstanceList;
	/** Peer channel; the list holds the peer channel address of each entry. */
	readonly peers: Pick<PeerChannel, 'addMethod' | 'call' | 'getAddress'>;
	readonly getFollowed: () => followedView.FollowedView;
	readonly poll: () => Promise<void>;
	readonly offerDeltas: (deltas: readonly viewChange.ViewDelta[]) => void;
	/** Applies a view: every later executor selection uses it. */
	readonly route: (view: View) => void;
	/** Counts requests from this entry that are in flight at an instance. */
	readonly getInFlight: (instance: string) => number;
	/** Writes the start marker and reads the snapshot; false if it failed. */
	readonly confirmSnapshot: () => Promise<boolean>;
	readonly settings: membershipStatus.MembershipSettings;
	readonly heartbeatMs: number;
	readonly listPollMs: number;
	/** Interval at which in-flight work is checked for a new acknowledgement. */
	readonly acknowledgeMs: number;
	readonly callTimeoutMs: number;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn' | 'error'>;
};

/** A write of this entry's row whose outcome is unknown. */
export type PendingWrite = {
	readonly askedAt: number;
	readonly quorum: readonly string[];
};

/** State of one incarnation; mutated by the modules of this folder. */
export type MemberState = {
	readonly startedAt: number;
	status: membershipStatus.MembershipStatus;
	isRegistered: boolean;
	/** Quorum named by this entry's committed row. */
	quorum: readonly string[];
	/** Quorum of a write whose outcome is unknown. */
	pendingQuorum: readonly string[] | undefined;
	/** Writes of this entry's row whose outcome is unknown, by operation id. */
	readonly pendingWrites: Map<string, PendingWrite>;
	/** Version of this entry's row; 0 before it is written. */
	rowVersion: number;
	sequence: number;
	/** True if this incarnation replaced an earlier one. */
	hasReplaced: boolean;
	/** Newest revision that this entry may have acknowledged to others. */
	highestInForce: number;
	/** Acknowledgements received from peers, by entry. */
	readonly received: Map<string, acknowledgement.Acknowledgement>;
	/** Entries that this one sponsors, and when they last asked. */
	readonly sponsored: Map<
		string,
		{ack: acknowledgement.Acknowledgement; askedAt: number}
	>;
	/** Address of the entry that sponsors this one. */
	sponsorAddress: string | undefined;
	/** Peers that wait for this entry's acknowledgements, with their deadlines. */
	readonly awaitedBy: Map<string, number>;
	/** Registered entries, read when the set last changed. */
	members: MembershipRows;
	/** The last acknowledgement sent, for change detection. */
	lastSent: string;
	/** A later incarnation of this entry, which ends this one. */
	replacedBy: string | undefined;
	/** Incarnation under which the platform's list shows this process. */
	listedIncarnation: string | undefined;
	/** Start time of the newest committed heartbeat. */
	renewedAt: number;
	/** When each peer last pinged this entry. */
	readonly confirmedPeers: Map<string, number>;
};

/** Creates the state of a new incarnation. */
export const createMemberState = (now: number): MemberState => ({
	startedAt: now,
	status: {mode: 'registered', confirmedAt: Number.NEGATIVE_INFINITY},
	isRegistered: false,
	quorum: [],
	pendingQuorum: undefined,
	pendingWrites: new Map(),
	rowVersion: 0,
	sequence: 0,
	hasReplaced: false,
	highestInForce: 0,
	received: new Map(),
	sponsored: new Map(),
	sponsorAddress: undefined,
	awaitedBy: new Map(),
	members: {version: -1, registrations: new Map()},
	lastSent: '',
	replacedBy: undefined,
	listedIncarnation: undefined,
	renewedAt: Number.NEGATIVE_INFINITY,
	confirmedPeers: new Map(),
});

/** The view at the same revision, with no instances to route to. */
export const withoutInstances = (view: View): View => ({
	...view,
	instances: new Map(),
});
