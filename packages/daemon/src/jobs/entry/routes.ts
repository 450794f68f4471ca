/**
 * The current configuration: the queue that a request addresses, and the team
 * that a key belongs to.
 */
import type {queueHome, teams} from '@gullstand/core';
import type {Configuration, QueueRoute} from '@gullstand/ports';

/** The queue that a host and a path address. */
export type RouteMatch =
	| {
			readonly kind: 'queue';
			readonly route: QueueRoute;
			/** The path after the prefix: a job's id, or empty. */
			readonly rest: string;
	  }
	| {readonly kind: 'unknown-queue'}
	/** This process has not read a configuration yet. */
	| {readonly kind: 'no-configuration'};

/** Routes of the current configuration. */
export type Routes = {
	/** Applies a configuration; returns false if it is not newer. */
	readonly apply: (configuration: Configuration) => boolean;
	readonly get: () => Configuration | undefined;
	readonly match: (host: string, path: string) => RouteMatch;
	/** Returns the current route of a queue by its name. */
	readonly getByName: (queue: string) => QueueRoute | undefined;
	/** Returns the team that has a key now, by the key's hash. */
	readonly findTeamByKeyHash: (keyHash: string) => teams.Team | undefined;
	/**
	 * Returns a team by its name, also one that an earlier configuration of this
	 * process named last: its jobs may still run.
	 */
	readonly getTeam: (name: string) => teams.Team | undefined;
};

/** Names the service of a queue by the newest configuration that does. */
export const getHomeClaim = (
	routes: Pick<Routes, 'get' | 'getByName'>,
	{name, service}: QueueRoute,
): queueHome.HomeClaim => {
	const current = routes.getByName(name);
	return current
		? {
				service: current.service,
				configuration: routes.get()?.version ?? 0,
			}
		: {service, configuration: 0};
};

const portSuffix = /:\d+$/v;

const normalizeHost = (host: string): string =>
	host.toLowerCase().replace(portSuffix, '');

/** Starts without a configuration; its version never decreases. */
export const createRoutes = (): Routes => {
	let current: Configuration | undefined;
	let byHost = new Map<string, QueueRoute[]>();
	let teamByKeyHash = new Map<string, teams.Team>();
	const teamByName = new Map<string, teams.Team>();

	const applyTeams = (list: readonly teams.Team[]) => {
		teamByKeyHash = new Map(
			list.flatMap((team) =>
				team.keyHashes.map((hash) => [hash, team] as const),
			),
		);
		for (const team of list) {
			teamByName.set(team.name, team);
		}
	};

	return {
		apply(configuration) {
			if (current && configuration.version <= current.version) {
				return false;
			}

			current = configuration;
			applyTeams(configuration.teams ?? []);
			byHost = new Map();
			for (const route of configuration.routes) {
				const host = normalizeHost(route.host);
				byHost.set(host, [...(byHost.get(host) ?? []), route]);
			}

			for (const routes of byHost.values()) {
				// So that the longest matching prefix wins.
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
		findTeamByKeyHash: (keyHash) => teamByKeyHash.get(keyHash),
		getTeam: (name) => teamByName.get(name),
	};
};
