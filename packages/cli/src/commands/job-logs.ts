/** `gullstand job ledger|legs`: where time went, from the entries' log lines. */
import {readFile} from 'node:fs/promises';
import {jobLegs} from '@gullstand/core';
import type {Command} from 'commander';
import type {Io} from './io.js';

/** Standard input, for a collector's output. */
const standardInput = 0;

const percent = 100;

/** Collectors put a time and a host before what an entry wrote. */
const parseLine = (text: string): readonly jobLegs.LogLine[] => {
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

/** Lines of a text that an entry wrote; all others are left out. */
export const parseLines = (text: string): readonly jobLegs.LogLine[] =>
	text.split('\n').flatMap((line) => parseLine(line));

const readLogs = async (
	files: readonly string[],
): Promise<jobLegs.LoggedJobs> => {
	const sources = files.length > 0 ? files : [standardInput];
	const texts = await Promise.all(
		sources.map(async (each) => readFile(each as string, 'utf8')),
	);
	return jobLegs.readJobs(texts.flatMap((text) => parseLines(text)));
};

const formatShare = (share: number): string =>
	`${(percent * share).toFixed(1).padStart(5)}%`;

/** The ledger as lines of text. */
export const formatLedger = (all: jobLegs.LoggedJobs): readonly string[] =>
	jobLegs.sumLosses(all).flatMap(({queue, jobs, inTime, lost}) => [
		`${queue === '' ? '(taken in by no owner)' : queue}: ${jobs} jobs, ${inTime} in time; lost of the work asked for`,
		...Object.entries(lost)
			.toSorted(([, one], [, two]) => two - one)
			.map(
				([cause, share]) =>
					`  ${formatShare(share)} ${jobLegs.lossCauses[cause as jobLegs.LossCause]}`,
			),
	]);

/** The legs of one job as lines of text. */
export const formatLegs = (
	all: jobLegs.LoggedJobs,
	id: string,
): readonly string[] => {
	const job = all.jobs.get(id);
	if (!job) {
		return [`${id} is in none of these lines`];
	}

	const cause = jobLegs.findLossCause(all, job);
	return [
		`${id} ${job.queue ?? ''} ${job.end ?? 'not ended'}, objective ${Math.round(jobLegs.getObjectiveMs(job))} ms`,
		...Object.entries(jobLegs.getLegs(job)).map(
			([leg, ms]) => `  ${leg} ${Math.round(ms)} ms`,
		),
		...(cause ? [`  lost: ${jobLegs.lossCauses[cause]}`] : []),
	];
};

/** Registers the commands. */
export const registerJobLogs = (group: Command, io: Io): void => {
	group
		.command('ledger [files...]')
		.description('why jobs were late, by queue, from log lines of all entries')
		.action(async (files: readonly string[]) => {
			io.print(formatLedger(await readLogs(files)).join('\n'));
		});
	group
		.command('legs <id> [files...]')
		.description('where the time of one job went, from the same lines')
		.action(async (id: string, files: readonly string[]) => {
			io.print(formatLegs(await readLogs(files), id).join('\n'));
		});
};
