/** `gullstand wave`: plans, runs and shows maintenance waves. */
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {InvalidArgumentError, type Command} from 'commander';
import {callOperator, type OperatorCall} from '../client/operator-client.js';
import {getExitCode, getFields, printAnswer, formatValue} from './answer.js';
import {addTargetFlags, readTarget, type Io, type TargetFlags} from './io.js';
import {
	formatBar,
	formatPlan,
	formatStatus,
	type WavePlan,
	type WaveStatus,
} from './wave-format.js';

/** Draws a progress bar, if the output is a terminal. */
export type Terminal = {
	readonly isTerminal: boolean;
	/** Overwrites the previous line. */
	readonly redraw: (text: string) => void;
};

const processTerminal: Terminal = {
	isTerminal: process.stdout.isTTY,
	redraw(text) {
		process.stdout.write(`\r\u001B[K${text}`);
	},
};

type Fields = Readonly<Record<string, unknown>>;

type PlanFlags = TargetFlags & {
	readonly pool: readonly string[];
	readonly hours: number;
	readonly weights?: string;
	readonly reserve?: string;
	readonly domains?: string;
	readonly order?: string;
	readonly maxInstances?: number;
	readonly maxDomains?: number;
	readonly cycleMinutes?: number;
	readonly deferWithinHours?: number;
};

type StatusFlags = TargetFlags & {readonly watch?: number};

const watchIntervalMs = 1000;

const parseNumber = (text: string): number => {
	const value = Number(text);
	if (!Number.isFinite(value)) {
		throw new InvalidArgumentError('a number is needed');
	}

	return value;
};

const getPath = (id: string, part = ''): string =>
	`/v1/waves/${encodeURIComponent(id)}${part}`;

const callAndPrint = async (
	request: OperatorCall,
	flags: TargetFlags,
	io: Io,
	format: (fields: Fields) => readonly string[],
) => {
	const target = await readTarget(flags, io);
	if (target) {
		printAnswer(await callOperator(target, request), flags, io, format);
	}
};

const registerPlan = (group: Command, io: Io) => {
	addTargetFlags(group.command('plan').argument('<id>'))
		.description('plan a wave and show what it would do; nothing starts')
		.requiredOption('--pool <pool...>', 'pools to maintain')
		.requiredOption('--hours <hours>', 'time until the deadline', parseNumber)
		.option('--weights <name>', 'balanced, few-moves, little-buffer or fast')
		.option('--reserve <domain>', 'none, rack or availability-zone')
		.option('--domains <rule>', 'prefer-whole or only-whole')
		.option('--order <order>', 'any or by-availability-zone')
		.option('--max-instances <count>', 'at work at once', parseNumber)
		.option('--max-domains <count>', 'racks at work at once', parseNumber)
		.option('--cycle-minutes <minutes>', 'expected absence', parseNumber)
		.option('--defer-within-hours <hours>', 'longest delay', parseNumber)
		.action(async (id: string, flags: PlanFlags) => {
			const {pool: pools, url, tokenFile, json, ...settings} = flags;
			const body = {pools, ...settings};
			await callAndPrint(
				{method: 'PUT', path: getPath(id), body},
				flags,
				io,
				(plan) => formatPlan(plan as unknown as WavePlan),
			);
		});
	addTargetFlags(group.command('preview').argument('<id>'))
		.description('show what a wave would do if it started now')
		.action(async (id: string, flags: TargetFlags) => {
			const path = getPath(id, '/preview');
			await callAndPrint({method: 'GET', path}, flags, io, (plan) =>
				formatPlan(plan as unknown as WavePlan),
			);
		});
};

const commandDescriptions = {
	start: 'start a planned wave',
	pause: 'begin nothing more; what is away comes back',
	resume: 'go on with a paused wave',
	cancel: 'end a wave; what is away comes back',
} as const;

const registerCommands = (group: Command, io: Io) => {
	for (const [name, description] of Object.entries(commandDescriptions)) {
		addTargetFlags(group.command(name).argument('<id>'))
			.description(description)
			.action(async (id: string, flags: TargetFlags) => {
				const path = getPath(id, `/${name}`);
				await callAndPrint({method: 'POST', path}, flags, io, ({wave}) => [
					`wave ${id}: ${formatValue((wave as Fields).state)}`,
				]);
			});
	}
};

const isFinished = ({wave, counts}: WaveStatus): boolean =>
	wave.state === 'done' ||
	(wave.state === 'cancelled' && counts.evacuating + counts.taken === 0);

/** Shows progress until the wave has ended, as a bar or a line per change. */
const watch = async (
	id: string,
	flags: StatusFlags,
	io: Io,
	terminal: Terminal,
) => {
	const target = await readTarget(flags, io);
	if (target === undefined) {
		return;
	}

	let last = '';
	for (;;) {
		const answer = await callOperator(target, {
			method: 'GET',
			path: getPath(id),
		});
		if (answer.status >= 300) {
			printAnswer(answer, flags, io, () => []);
			return;
		}

		const status = getFields(answer) as unknown as WaveStatus;
		const text = flags.json ? JSON.stringify(status) : formatBar(status);
		if (text !== last && terminal.isTerminal && !flags.json) {
			terminal.redraw(text);
		} else if (text !== last) {
			io.print(text);
		}

		last = text;
		if (isFinished(status)) {
			io.setExitCode(getExitCode(answer));
			return;
		}

		await setTimeout(flags.watch ?? watchIntervalMs);
	}
};

const registerStatus = (group: Command, io: Io, terminal: Terminal) => {
	addTargetFlags(group.command('status').argument('<id>'))
		.description('show progress and what the wave waits for')
		.option('--watch [ms]', 'show progress until it is over', parseNumber)
		.action(
			async (
				id: string,
				flags: TargetFlags & {readonly watch?: number | true},
			) => {
				const {watch: intervalMs, ...target} = flags;
				if (intervalMs === undefined) {
					await callAndPrint(
						{method: 'GET', path: getPath(id)},
						target,
						io,
						(status) => formatStatus(status as unknown as WaveStatus),
					);
					return;
				}

				const ms = intervalMs === true ? watchIntervalMs : intervalMs;
				await watch(id, {...target, watch: ms}, io, terminal);
			},
		);
	addTargetFlags(group.command('list').description('list all waves')).action(
		async (flags: TargetFlags) =>
			callAndPrint({method: 'GET', path: '/v1/waves'}, flags, io, ({waves}) =>
				(waves as readonly Fields[]).map(
					(wave) =>
						`${formatValue(wave.id)} ${formatValue(wave.state)} ${(wave.pools as readonly string[]).join(',')}`,
				),
			),
	);
};

/** Registers `gullstand wave`. */
export const registerWave = (
	program: Command,
	io: Io,
	terminal: Terminal = processTerminal,
) => {
	const group = program.command('wave').description('maintenance waves');
	registerPlan(group, io);
	registerCommands(group, io);
	registerStatus(group, io, terminal);
};
