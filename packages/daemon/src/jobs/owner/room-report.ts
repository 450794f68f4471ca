/**
 * Counts plans made while room was short and the executors kept for wide tasks,
 * and logs every two seconds what each team has of the room while it is short.
 */
import type {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import type {JobMetrics} from '../job-metrics.js';

/** Time between two log lines, in milliseconds. */
const reportMs = 2000;

/** Teams in a log line: those with the largest shares for their weight. */
const maxTeams = 20;

export type RoomReportDeps = {
	readonly service: string;
	readonly logger: Pick<Logger, 'info'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
	readonly now: () => number;
};

/** Reports how the room of one service is shared. */
export type RoomReport = {
	/** Counts what the latest plan did, and logs if a line is due. */
	readonly recordPlan: (owner: scheduler.Owner) => void;
};

const createCounts = (): scheduler.RoomShareCounts => ({
	shortPlans: 0,
	reserved: 0,
	placed: 0,
	expired: 0,
});

const getWeightedShare = ({running, recent, weight}: scheduler.TeamRoom) =>
	(running + recent) / weight;

const round = (share: number): number => Number(share.toFixed(3));

const describeTeams = (teams: readonly scheduler.TeamRoom[]) =>
	teams
		.toSorted((one, two) => getWeightedShare(two) - getWeightedShare(one))
		.slice(0, maxTeams)
		.map(({team, weight, running, recent, waiting}) => ({
			team,
			weight,
			running: round(running),
			recent: round(recent),
			waiting: round(waiting),
		}));

/** Creates a report of an ownership that begins now. */
export const createRoomReport = (deps: RoomReportDeps): RoomReport => {
	const {service, logger, metrics, now} = deps;
	let counted = createCounts();
	let logged = createCounts();
	let loggedAt = now();

	const countNew = (counts: scheduler.RoomShareCounts) => {
		const countTimes = (name: string, label: string, times: number) => {
			for (let time = 0; time < times; time++) {
				metrics.count(name, label);
			}
		};

		const {shortPlans, reserved, placed, expired} = counts;
		countTimes('plans_room_short', service, shortPlans - counted.shortPlans);
		countTimes('room_kept', 'reserved', reserved - counted.reserved);
		countTimes('room_kept', 'placed', placed - counted.placed);
		countTimes('room_kept', 'expired', expired - counted.expired);
		counted = {...counts};
	};

	return {
		recordPlan({roomShares: {counts, teams, reservations}}) {
			countNew(counts);
			const isDue = now() - loggedAt >= reportMs;
			if (!isDue || counts.shortPlans === logged.shortPlans) {
				return;
			}

			logger.info('room is short', {
				shortPlans: counts.shortPlans - logged.shortPlans,
				reserved: counts.reserved - logged.reserved,
				placed: counts.placed - logged.placed,
				expired: counts.expired - logged.expired,
				keptFor: reservations.map(({task, executorId}) => ({
					task: task.id,
					executor: executorId,
				})),
				teams: describeTeams(teams),
			});
			logged = {...counts};
			loggedAt = now();
		},
	};
};
