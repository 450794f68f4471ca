/** What operators see of teams: terms, keys, and shares of their caps. */
import type {scheduler, teams} from '@gullstand/core';
import type {Configuration} from '@gullstand/ports';
import type {JobMetrics} from './job-metrics.js';
import type {OwnedServices} from './owner/owned-services.js';

/** A team and its shares in the services that this daemon owns. */
export type TeamOverview = {
	readonly team: string;
	readonly weight: number;
	/** 0 stands for no limit. */
	readonly cap: scheduler.Resources;
	/** Number of its keys. */
	readonly keys: number;
	readonly shares: ReturnType<OwnedServices['listTeamShares']>;
	/** Empty unless room is shared between teams. */
	readonly room: ReturnType<OwnedServices['listTeamRoom']>;
};

/** Lists the teams of the configuration. */
export const listTeams = (
	configuration: Configuration | undefined,
	owned: Pick<OwnedServices, 'listTeamShares' | 'listTeamRoom'>,
): readonly TeamOverview[] => {
	const shares = owned.listTeamShares();
	const room = owned.listTeamRoom();
	return (configuration?.teams ?? []).map(({name, weight, cap, keyHashes}) => ({
		team: name,
		weight,
		cap,
		keys: keyHashes.length,
		shares: shares.filter(({team}) => team === name),
		room: room.filter(({team}) => team === name),
	}));
};

/** Teams with gauges; others are left out, which bounds the metrics. */
const maxTeams = 200;

/** Registers gauges of what a team holds, uses and waits for on this daemon. */
export const registerTeamGauges = (
	list: readonly teams.Team[],
	owned: Pick<OwnedServices, 'listTeamShares' | 'listTeamRoom'>,
	metrics: Pick<JobMetrics, 'registerGauge'>,
): void => {
	const sumCpu = (team: string, field: 'share' | 'used' | 'waiting') => {
		const shares = owned.listTeamShares().filter((each) => each.team === team);
		let sum = 0;
		for (const each of shares) {
			sum += each[field].cpuMillis;
		}

		return shares.length > 0 ? sum : undefined;
	};

	/** The largest of the services, whose rooms differ in size. */
	const findLargest = (team: string, field: 'running' | 'waiting') => {
		const room = owned.listTeamRoom().filter((each) => each.team === team);
		return room.length > 0
			? Math.max(...room.map((each) => each[field]))
			: undefined;
	};

	for (const {name} of list.slice(0, maxTeams)) {
		for (const field of ['running', 'waiting'] as const) {
			metrics.registerGauge(`team_room_${field}`, name, () =>
				findLargest(name, field),
			);
		}

		for (const field of ['share', 'used', 'waiting'] as const) {
			metrics.registerGauge(`team_${field}_cpu_millis`, name, () =>
				sumCpu(name, field),
			);
		}
	}
};
