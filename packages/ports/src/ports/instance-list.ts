/** Port to the platform's list of live and leaving instances. */
import type {Result} from '@gullstand/core';

/** One listed instance. The list may be seconds out of date. */
export type ListedInstance = {
	readonly id: string;
	readonly role: 'entry' | 'executor' | 'worker';
	readonly address: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
	/** Unique to each incarnation of an instance or address. */
	readonly incarnation: string;
};

/** Why the list could not be read. */
export type ListError = {readonly kind: 'unavailable' | 'timeout'};

/** The list of instances. */
export type InstanceList = {
	readonly list: () => Promise<Result<readonly ListedInstance[], ListError>>;
};
