/**
 * The home of a queue: the one service in which its jobs are accepted. A gate in
 * the shard of each service is open in the home only. The home and the gates
 * change in one transaction, and each submission checks the version of the gate
 * that it goes through, so that no submission takes effect once its queue has
 * left, however late it arrives. Source: docs/design/queue-homes.md.
 */

/** The home of a queue, one row for all daemons. */
export type QueueHome = {
	/** Version of the configuration that made the service the home. */
	readonly configuration: number;
	readonly service: string;
	/** All services that may have jobs of the queue, the home included. */
	readonly services: readonly string[];
};

/** The service of a queue by the configuration of some daemon. */
export type HomeClaim = {
	readonly configuration: number;
	readonly service: string;
};

export type HomeDecision =
	/** The home is to be written, and the gate of the claimed service opened. */
	| {
			readonly kind: 'write';
			readonly home: QueueHome;
			/** Services whose gates are to be closed in the same transaction. */
			readonly left: readonly string[];
	  }
	/** The claim is out of date: jobs are accepted in another service. */
	| {readonly kind: 'moved'; readonly home: QueueHome};

const addService = (
	services: readonly string[],
	service: string,
): readonly string[] => [...new Set([...services, service])];

/**
 * Decides where jobs are accepted, for a claim whose gate isn't known to be
 * open. A claim moves the queue only if its configuration is newer than that of
 * the home; otherwise daemons with different configurations would move it to and
 * fro. `recorded` are services that may have jobs of a queue whose home is
 * absent or cannot be read.
 */
export const decideHome = (
	home: QueueHome | undefined,
	recorded: readonly string[],
	{configuration, service}: HomeClaim,
): HomeDecision => {
	if (!home) {
		const services = addService(recorded, service);
		return {
			kind: 'write',
			home: {configuration, service, services},
			left: services.filter((each) => each !== service),
		};
	}

	if (home.service === service) {
		const newest = Math.max(home.configuration, configuration);
		const confirmed = {...home, configuration: newest};
		return {kind: 'write', home: confirmed, left: []};
	}

	if (configuration <= home.configuration) {
		return {kind: 'moved', home};
	}

	const services = addService(home.services, service);
	return {
		kind: 'write',
		home: {configuration, service, services},
		left: [home.service],
	};
};
