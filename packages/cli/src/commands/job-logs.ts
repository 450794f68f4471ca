/** `gullstand job ledger|legs|plot-*`: analyses of the entries' log lines. */
import {readFile, writeFile} from 'node:fs/promises';
import {jobPhases} from '@gullstand/core';
import type {Command} from 'commander';
import {drawBars, drawLines} from '../plots/svg.js';
import type {Io} from './io.js';

/** File descriptor of standard input, read if no files are given. */
const standardInput = 0;

const percent = 100;

/** Parses a line, skipping the prefix that log collectors may add. */
const parseLine = (text: string): readonly jobPhases.LogLine[] => {
	const begin = text.indexOf('{');
	try {
		const fields = JSON.parse(text.slice(begin)) as Record<string, unknown>;
		const at = Date.parse(String(fields.timestamp));
		return begin === -1 || Number.isNaN(at)
			? []
			: [{at, message: String(fields.message), fields}];
	} catch {
		return [];
	}
};

/** Parses the log lines of entries in a text and ignores all others. */
export const parseLines = (text: string): readonly jobPhases.LogLine[] =>
	text.split('\n').flatMap((line) => parseLine(line));

const readLines = async (
	files: readonly string[],
): Promise<readonly jobPhases.LogLine[]> => {
	const sources = files.length > 0 ? files : [standardInput];
	const texts = await Promise.all(
		sources.map(async (each) => readFile(each as string, 'utf8')),
	);
	return texts.flatMap((text) => parseLines(text));
};

const readLogs = async (
	files: readonly string[],
): Promise<jobPhases.LoggedJobs> => jobPhases.readJobs(await readLines(files));

const formatShare = (share: number): string =>
	`${(percent * share).toFixed(1).padStart(5)}%`;

/** Formats the causes of missed objectives by queue, as lines. */
export const formatMissCauses = (
	all: jobPhases.LoggedJobs,
): readonly string[] =>
	jobPhases.summarizeQueues(all).flatMap(({queue, jobs, inTime, lost}) => [
		`${queue === '' ? '(taken in by no owner)' : queue}: ${jobs} jobs, ${inTime} in time; lost of the work asked for`,
		...Object.entries(lost)
			.toSorted(([, one], [, two]) => two - one)
			.map(
				([cause, share]) =>
					`  ${formatShare(share)} ${jobPhases.missCauses[cause as jobPhases.MissCause]}`,
			),
	]);

/** Formats the phases of one job, as lines. */
export const formatPhases = (
	all: jobPhases.LoggedJobs,
	id: string,
): readonly string[] => {
	const job = all.jobs.get(id);
	if (!job) {
		return [`${id} is in none of these lines`];
	}

	const cause = jobPhases.findMissCause(all, job);
	return [
		`${id} ${job.queue ?? ''} ${job.end ?? 'not ended'}, objective ${Math.round(jobPhases.getObjectiveMs(job))} ms`,
		...Object.entries(jobPhases.getPhases(job)).map(
			([phase, ms]) => `  ${phase} ${Math.round(ms)} ms`,
		),
		...(cause ? [`  lost: ${jobPhases.missCauses[cause]}`] : []),
	];
};

const msPerSecond = 1000;

/** Draws the work that missed its objective in two logs, by cause. */
export const plotMissCauses = (
	before: jobPhases.LoggedJobs,
	after: jobPhases.LoggedJobs,
): string => {
	const [first, second] = [before, after].map((all) =>
		jobPhases.sumSharesByCause(all),
	) as [jobPhases.CauseShares, jobPhases.CauseShares];
	const causes = Object.keys(jobPhases.missCauses) as jobPhases.MissCause[];
	const rows = causes.map((cause) => ({
		label: jobPhases.missCauses[cause],
		values: [first, second].map((each) => percent * (each[cause] ?? 0)),
	}));
	return drawBars(
		'Work that was not in time, by cause, of the work asked for',
		['before', 'after'],
		rows.filter(({values}) => values.some((value) => value > 0)),
	);
};

/** Draws the requested and the held capacity of a pool over time. */
export const plotCapacity = (
	lines: readonly jobPhases.LogLine[],
	pool: string,
): string => {
	const capacity = jobPhases.readPoolCapacity(lines, pool);
	const begin = capacity[0]?.at ?? 0;
	const toPoints = (get: (each: jobPhases.PoolCapacity) => number) =>
		capacity.map(
			(each) => [(each.at - begin) / msPerSecond, get(each)] as const,
		);
	return drawLines(`Machines of ${pool}`, [
		{name: 'asked for', points: toPoints(({asked}) => asked)},
		{name: 'held', points: toPoints(({held}) => held)},
	]);
};

/** Registers the log analyses of `gullstand job`. */
export const registerJobLogs = (group: Command, io: Io): void => {
	group
		.command('ledger [files...]')
		.description('why jobs were late, by queue, from log lines of all entries')
		.action(async (files: readonly string[]) => {
			io.print(formatMissCauses(await readLogs(files)).join('\n'));
		});
	group
		.command('plot-causes <out> <before> <after>')
		.description('an SVG of what two sets of lines lost, by cause')
		.action(async (out: string, before: string, after: string) => {
			const logs = [before, after].map(async (file) => readLogs([file]));
			const [first, second] = await Promise.all(logs);
			await writeFile(out, plotMissCauses(first!, second!));
		});
	group
		.command('plot-room <out> <pool> [files...]')
		.description('an SVG of the room of a pool, asked for and held')
		.action(async (out: string, pool: string, files: readonly string[]) => {
			await writeFile(out, plotCapacity(await readLines(files), pool));
		});
	group
		.command('legs <id> [files...]')
		.description('where the time of one job went, from the same lines')
		.action(async (id: string, files: readonly string[]) => {
			io.print(formatPhases(await readLogs(files), id).join('\n'));
		});
};
