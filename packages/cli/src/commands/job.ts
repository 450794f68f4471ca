/** `gullstand job` and `gullstand explain`: submits and shows jobs. */
import {readFile} from 'node:fs/promises';
import {randomBytes} from 'node:crypto';
import type {Command} from 'commander';
import {parse} from 'smol-toml';
import {formatValue} from './answer.js';
import {callAndPrint, type Fields, type FormatAnswer} from './call.js';
import {addTargetFlags, type Io, type TargetFlags} from './io.js';
import {registerJobLogs} from './job-logs.js';

const idBytes = 8;

const getPath = (queue: string, id: string): string =>
	`/v1/jobs/${encodeURIComponent(queue)}/${encodeURIComponent(id)}`;

const formatJob: FormatAnswer = ({job, state, isRepeat}) => [
	[
		formatValue(job),
		...(state === undefined ? [] : [formatValue(state)]),
		...(isRepeat === true ? ['was accepted before'] : []),
	].join(' '),
];

const formatList: FormatAnswer = ({jobs}) =>
	(jobs as readonly Fields[]).map(
		({job, queue, state, acceptedAtEpochMs}) =>
			`${formatValue(job)} ${formatValue(queue)} ${formatValue(state)} ${new Date(
				Number(acceptedAtEpochMs),
			).toISOString()}`,
	);

const formatTasks: FormatAnswer = ({tasks}) =>
	(tasks as readonly Fields[]).map(
		({task, state, because}) =>
			`${formatValue(task)} ${formatValue(state)}: ${formatValue(because)}`,
	);

/** Registers `gullstand job` and `gullstand explain`. */
export const registerJob = (program: Command, io: Io): void => {
	const group = program
		.command('job')
		.description('jobs of a queue: tasks that executors run');
	addTargetFlags(group.command('submit <queue> <file>'))
		.description('submit a job from a TOML file; it is accepted once per id')
		.option('--id <id>', '16 hexadecimal digits; random by default')
		.action(
			async (
				queue: string,
				file: string,
				flags: TargetFlags & {readonly id?: string},
			) => {
				const id = flags.id ?? randomBytes(idBytes).toString('hex');
				const body = parse(await readFile(file, 'utf8'));
				const path = getPath(queue, id);
				await callAndPrint({method: 'PUT', path, body}, flags, io, formatJob);
			},
		);
	addTargetFlags(group.command('list'))
		.description('jobs of the services that this entry owns')
		.action(async (flags: TargetFlags) => {
			await callAndPrint(
				{method: 'GET', path: '/v1/jobs'},
				flags,
				io,
				formatList,
			);
		});
	addTargetFlags(group.command('show <queue> <id>'))
		.description('the state of a job')
		.action(async (queue: string, id: string, flags: TargetFlags) => {
			const path = getPath(queue, id);
			await callAndPrint({method: 'GET', path}, flags, io, formatJob);
		});
	addTargetFlags(group.command('cancel <queue> <id>'))
		.description('cancel a job; what runs of it is stopped')
		.action(async (queue: string, id: string, flags: TargetFlags) => {
			const path = getPath(queue, id);
			await callAndPrint({method: 'DELETE', path}, flags, io, formatJob);
		});
	registerJobLogs(group, io);
	addTargetFlags(program.command('explain <queue> <id>'))
		.description('why each task of a job runs, waits or is not placed')
		.action(async (queue: string, id: string, flags: TargetFlags) => {
			const path = `${getPath(queue, id)}/explanation`;
			await callAndPrint({method: 'GET', path}, flags, io, formatTasks);
		});
};
