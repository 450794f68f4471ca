/** The configuration in force and the queue that a request names. */
import type {Configuration, QueueRoute} from '@gullstand/ports';

/** What a host and a path name. */
export type RouteMatch =
	| {
			readonly kind: 'queue';
			readonly route: QueueRoute;
			/** What follows the prefix: a job's id, or nothing. */
			readonly rest: string;
	  }
	| {readonly kind: 'unknown-queue'}
	/** No configuration has been read in this life. */
	| {readonly kind: 'no-configuration'};

/** The configuration in force. */
export type Routes = {
	/** Takes a configuration in force; false if it is not newer. */
	readonly apply: (configuration: Configuration) => boolean;
	readonly get: () => Configuration | undefined;
	readonly match: (host: string, path: string) => RouteMatch;
	/** The route of a queue in force, by its name. */
	readonly getByName: (queue: string) => QueueRoute | undefined;
};

const portSuffix = /:\d+$/v;

const normalizeHost = (host: string): string =>
	host.toLowerCase().replace(portSuffix, '');

/** Starts without a configuration; versions never go back in one life. */
export const createRoutes = (): Routes => {
	let current: Configuration | undefined;
	let byHost = new Map<string, QueueRoute[]>();

	return {
		apply(configuration) {
			if (current && configuration.version <= current.version) {
				return false;
			}

			current = configuration;
			byHost = new Map();
			for (const route of configuration.routes) {
				const host = normalizeHost(route.host);
				byHost.set(host, [...(byHost.get(host) ?? []), route]);
			}

			for (const routes of byHost.values()) {
				// The longest prefix first.
				routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
			}

			return true;
		},
		get: () => current,
		match(host, path) {
			if (!current) {
				return {kind: 'no-configuration'};
			}

			const route = byHost
				.get(normalizeHost(host))
				?.find(({pathPrefix}) => path.startsWith(pathPrefix));
			return route
				? {kind: 'queue', route, rest: path.slice(route.pathPrefix.length)}
				: {kind: 'unknown-queue'};
		},
		getByName: (queue) => current?.routes.find(({name}) => name === queue),
	};
};
