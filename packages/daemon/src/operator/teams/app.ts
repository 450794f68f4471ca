/**
 * HTTP API of teams under `/v1/teams`: what each is allowed, and what the
 * services that this entry owns hold, use and wait for of its cap.
 */
import type {JobDaemon} from '../../jobs/job-daemon.js';
import type {OperatorApp} from '../types.js';

/** Dependencies of the handlers. */
export type TeamsDeps = {readonly jobs: Pick<JobDaemon, 'listTeams'>};

/** Registers the handlers of this domain. */
export const registerTeams = (app: OperatorApp, {jobs}: TeamsDeps): void => {
	app.get('/v1/teams', (c) => c.json({teams: jobs.listTeams()}));
};
