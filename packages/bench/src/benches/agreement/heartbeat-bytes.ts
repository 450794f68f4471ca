/** Size of the heartbeat row of an entry. */
import type {registration} from '@gullstand/core';

const createRow = (entries: number): registration.Registration => ({
	address: '10.20.30.40:8443',
	availabilityZone: 'zone-1',
	upMs: 123_456_789,
	heard: [],
	quorum: Array.from({length: entries}, (_, index) => `entry-${index}`),
	acknowledged: {
		entry: 'entry-100',
		incarnation: '123e4567-e89b-12d3-a456-426614174000',
		sequence: 123_456,
		inForce: 123_456,
		holding: [],
	},
});

/** Returns the size in bytes of a JSON row with a quorum of `entries`. */
export const getHeartbeatBytes = (entries: number): number =>
	JSON.stringify(createRow(entries)).length;
