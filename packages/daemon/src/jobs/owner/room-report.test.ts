/** Guards against a shortage of room that operators cannot see. */
import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import winston from 'winston';
import {createJobMetrics} from '../job-metrics.js';
import {createRoomReport} from './room-report.js';

tap.t.test('logs a line each two seconds while room is short', async (t) => {
	const lines: unknown[] = [];
	const logger = winston.createLogger({silent: true});
	logger.info = ((message: string, fields: unknown) => {
		lines.push({message, fields});
		return logger;
	}) as typeof logger.info;
	let at = 0;
	const metrics = createJobMetrics();
	const now = () => at;
	const report = createRoomReport({service: 's', logger, metrics, now});
	const cfg = scheduler.defaultSchedulerConfig;
	const owner = scheduler.createOwner('s', 1, cfg, 0);
	const {roomShares} = owner;
	roomShares.teams = Array.from({length: 30}, (_, index) => ({
		team: `t${index}`,
		weight: 2,
		running: index / 100,
		recent: 0,
		waiting: 1,
	}));
	at = 2500;
	report.recordPlan(owner);
	t.same(lines, [], 'nothing without shortage');
	Object.assign(roomShares.counts, {shortPlans: 3, reserved: 2, placed: 1});
	report.recordPlan(owner);
	t.match(lines, [
		{
			message: 'room is short',
			fields: {
				shortPlans: 3,
				reserved: 2,
				placed: 1,
				expired: 0,
				teams: {length: 20, 0: {team: 't29', running: 0.29}},
			},
		},
	]);
	roomShares.counts.shortPlans = 4;
	at = 4400;
	report.recordPlan(owner);
	t.equal(lines.length, 1);
	at = 4500;
	report.recordPlan(owner);
	t.match(lines[1], {fields: {shortPlans: 1, reserved: 0}});
	const text = metrics.formatText();
	t.match(text, 'gullstand_plans_room_short{label="s"} 4\n');
	t.match(text, 'gullstand_room_kept{label="placed"} 1\n');
});
