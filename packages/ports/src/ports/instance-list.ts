/** Port to the platform's lagging list of live and leaving instances. */
import type {Result} from '@gullstand/core';

/** One listed instance. The list lags by seconds. */
export type ListedInstance = {
	readonly id: string;
	readonly role: 'entry' | 'executor' | 'worker';
	readonly address: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
	/** Differs between two lives of one instance or address. */
	readonly incarnation: string;
};

/** Why the list could not be read. */
export type ListError = {readonly kind: 'unavailable' | 'timeout'};

/** The list of instances. */
export type InstanceList = {
	readonly list: () => Promise<Result<readonly ListedInstance[], ListError>>;
};
