/** Analyses of log lines with the prefix of a collector. */
import {jobPhases} from '@gullstand/core';
import * as tap from 'tap';
import {
	formatMissCauses,
	formatPhases,
	parseLines,
	plotMissCauses,
	plotCapacity,
} from './job-logs.js';

const id = '0a17ce1d69eaa20e';

const toLine = (ms: number, message: string, fields: object): string =>
	` 1.0 entry-1 ${JSON.stringify({
		timestamp: new Date(ms).toISOString(),
		message,
		shard: 'service/s',
		...fields,
	})}`;

const acceptedJob = {
	job: id,
	queue: 'q',
	stretch: 2,
	targetLatencyMs: 600,
	chainMs: 500,
	work: 800,
	isLasting: false,
};

const task = {task: `${id}.0.0.0`, run: 1};

const text = [
	'not one of ours',
	'{"cut off',
	toLine(10, 'call answered', {
		call: 'submit',
		job: id,
		outcome: 'ok',
		tookMs: 10,
	}),
	toLine(12, 'job taken in', acceptedJob),
	toLine(3005, 'task start', {...task, outcome: 'started', tookMs: 5}),
	toLine(3500, 'task end', {...task, how: 'done'}),
	toLine(3510, 'job ended', {job: id, end: 'completed'}),
	toLine(20, 'pools', {pools: {s: {held: 2, target: 3, asked: 4.5}}}),
	toLine(1020, 'pools', {pools: {s: {held: 5, target: 5, asked: 4}}}),
].join('\n');

const lines = parseLines(text);

const all = jobPhases.readJobs(lines);

tap.t.test('lines that no entry wrote are ignored', async (t) => {
	t.equal(lines.length, 7);
});

tap.t.test('the causes of missed objectives, by queue', async (t) => {
	t.same(formatMissCauses(all), [
		'q: 1 jobs, 0 in time; lost of the work asked for',
		'  100.0% no room for its first task',
	]);
});

tap.t.test('the phases of one job', async (t) => {
	t.same(formatPhases(all, id), [
		`${id} q completed, objective 1600 ms`,
		'  accept 10 ms',
		'  tell 2 ms',
		'  firstStart 2988 ms',
		'  running 500 ms',
		'  between 0 ms',
		'  store 10 ms',
		'  lost: no room for its first task',
	]);
	t.same(formatPhases(all, 'ffff'), ['ffff is in none of these lines']);
});

tap.t.test('charts of causes and of capacity', async (t) => {
	const causes = plotMissCauses(all, jobPhases.readJobs([]));
	t.match(causes, /^<svg .*<\/svg>\n$/sv);
	t.ok(causes.includes('no room for its first task'));
	t.ok(causes.includes('100.0%'));
	const capacity = plotCapacity(lines, 's');
	t.equal(capacity.match(/<polyline/gv)?.length, 2);
});
