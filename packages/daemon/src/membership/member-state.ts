/** What one entry knows of itself and of its peers. */
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

/** What membership needs from the rest of a daemon. */
export type MemberDeps = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly availabilityZone: string;
	readonly table: TableService;
	readonly list: InstanceList;
	/** Listed addresses of entries are those of their peer channels. */
	readonly peers: Pick<PeerChannel, 'addMethod' | 'call' | 'getAddress'>;
	readonly getFollowed: () => followedView.FollowedView;
	readonly poll: () => Promise<void>;
	readonly offerDeltas: (deltas: readonly viewChange.ViewDelta[]) => void;
	/** Puts a view in force: every pick from now on is made by it. */
	readonly route: (view: View) => void;
	/** Requests from this entry to one instance, from the pick to the end. */
	readonly getInFlight: (instance: string) => number;
	/** Puts the start marker and reads the snapshot; false if it failed. */
	readonly confirmSnapshot: () => Promise<boolean>;
	readonly settings: membershipStatus.MembershipSettings;
	readonly heartbeatMs: number;
	readonly listPollMs: number;
	/** How often in-flight work is looked at for a new acknowledgement. */
	readonly acknowledgeMs: number;
	readonly callTimeoutMs: number;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn' | 'error'>;
};

/** A write of the own row. */
export type PendingWrite = {
	readonly askedAt: number;
	readonly quorum: readonly string[];
};

/** State of one life; changed in place by the parts of this folder. */
export type MemberState = {
	readonly startedAt: number;
	status: membershipStatus.MembershipStatus;
	isRegistered: boolean;
	/** The quorum that the own committed row names. */
	quorum: readonly string[];
	/** A quorum whose write has had no reply yet. */
	pendingQuorum: readonly string[] | undefined;
	/** Writes of the own row whose outcome is unknown. */
	readonly pendingWrites: Map<string, PendingWrite>;
	/** Version of the own row; 0 before it is written. */
	rowVersion: number;
	sequence: number;
	/** True if this life took the place of an earlier one. */
	hasReplaced: boolean;
	/** Newest acknowledgement that others may have seen. */
	highestInForce: number;
	/** Acknowledgements heard from peers, by entry. */
	readonly received: Map<string, acknowledgement.Acknowledgement>;
	/** Entries that this one speaks for, and when they last asked. */
	readonly sponsored: Map<
		string,
		{ack: acknowledgement.Acknowledgement; askedAt: number}
	>;
	/** Address of the entry that speaks for this one. */
	sponsorAddress: string | undefined;
	/** Peers that wait for this entry's acknowledgements, and until when. */
	readonly awaitedBy: Map<string, number>;
	/** The registered entries, as read when the set last changed. */
	members: MembershipRows;
	lastSent: string;
	/** A later life of this entry, which ends this one. */
	replacedBy: string | undefined;
	/** Incarnation by which the platform's list knows this life. */
	listedIncarnation: string | undefined;
	/** When the newest heartbeat that committed was begun. */
	renewedAt: number;
	/** When each peer last asked to be confirmed. */
	readonly confirmedPeers: Map<string, number>;
};

/** Creates the state of a new life. */
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

/** A view by which nothing can be routed, at the same revision. */
export const withoutInstances = (view: View): View => ({
	...view,
	instances: new Map(),
});
