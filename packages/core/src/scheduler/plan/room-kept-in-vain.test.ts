/**
 * Guards against an executor that is kept again and again for wide tasks which
 * certainly have no room there in the time for which it is kept.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	testConfig,
} from '../owner.test.fixture.js';
import {simulateSmallPool} from './small-pool.test.fixture.js';

/** Longest time for which a job may stand beside room, in milliseconds. */
const maxStandingMs = 3000;

const cores = (count: number) => ({
	cpuMillis: 1000 * count,
	memoryMb: 1,
	accelerators: 0,
});

const cases = [
	{name: 'one wide job', wideJobs: 1},
	{name: 'several wide jobs', wideJobs: 3},
] as const;

for (const {name, wideJobs} of cases) {
	tap.t.test(`small jobs start beside a run of 15 s: ${name}`, async (t) => {
		const {submit, advanceTo, getStanding, startedAt} = simulateSmallPool({
			executors: [createListed('x')],
			cfg: {...testConfig, sharesRoomBetweenTeams: true},
		});
		submit(createAccepted('long', [{estimateMs: 15_000, resources: cores(1)}]));
		advanceTo(500);
		const wide = Array.from({length: wideJobs}, (_, index) => `wide${index}`);
		for (const id of wide) {
			const policy = {targetLatencyMs: 60_000};
			const steps = [{resources: cores(4)}];
			submit({...createAccepted(id, steps, {policy}), team: 'a'});
		}

		const small: string[] = [];
		advanceTo(14_500, (now) => {
			if (now % 500 === 0) {
				const id = `j${now}`;
				small.push(id);
				const steps = [{resources: cores(1)}];
				submit({...createAccepted(id, steps), team: 'b'});
			}
		});
		const longestMs = Math.max(...small.map((id) => getStanding(id).longestMs));
		t.ok(longestMs < maxStandingMs, `${longestMs} ms`);
		advanceTo(20_000);
		t.ok(
			wide.every((id) => startedAt.has(`${id}.0.0.0`)),
			'the wide jobs start',
		);
	});
}
