/** `gullstand contract|service|instance`: shows and changes objects. */
import {readFile} from 'node:fs/promises';
import type {Command} from 'commander';
import {parse} from 'smol-toml';
import {
	callOperator,
	type OperatorCall,
	type OperatorTarget,
} from '../client/operator-client.js';
import {
	formatInForce,
	formatObject,
	printAnswer,
	readVersionLine,
	formatValue,
} from './answer.js';
import {
	addTargetFlags,
	exitCodes,
	readTarget,
	type Io,
	type TargetFlags,
} from './io.js';

/** A kind of object and its key field. */
export type ObjectKind = {
	readonly name: 'contract' | 'service' | 'instance';
	readonly keyField: string;
	readonly description: string;
};

/** Kinds of objects that operators may change. */
export const objectKinds: readonly ObjectKind[] = [
	{
		name: 'contract',
		keyField: 'customer',
		description: 'what each customer is promised',
	},
	{name: 'service', keyField: 'name', description: 'upstreams by name'},
	{
		name: 'instance',
		keyField: 'id',
		description: 'machines of the pools; pool and state change by moves',
	},
];

type Fields = Readonly<Record<string, unknown>>;

type ApplyFlags = TargetFlags & {
	readonly ifMatch?: string;
	readonly wait?: string;
};

type ObjectFile = {
	readonly key: string;
	readonly value: Readonly<Record<string, unknown>>;
	readonly etag: string | undefined;
};

const readObjectFile = async (
	kind: ObjectKind,
	file: string,
): Promise<ObjectFile> => {
	const text = await readFile(file, 'utf8');
	const value = parse(text);
	const key = value[kind.keyField];
	if (typeof key !== 'string') {
		throw new TypeError(`${file}: ${kind.keyField} is missing`);
	}

	return {key, value, etag: readVersionLine(text)};
};

const getPath = (kind: ObjectKind, key: string): string =>
	`/v1/${kind.name}s/${encodeURIComponent(key)}`;

const getWaitQuery = ({wait}: ApplyFlags): string =>
	wait === undefined ? '' : `?wait=${encodeURIComponent(wait)}`;

type Diff = {path: string; before?: unknown; after?: unknown};

const formatDiff = (fields: Fields) => {
	const diff = (fields.diff ?? []) as readonly Diff[];
	const problems = (fields.problems ?? []) as readonly unknown[];
	return [
		...(diff.length === 0 ? ['no difference'] : []),
		...diff.map(
			({path, before, after}) =>
				`${path}: ${JSON.stringify(before) ?? '(none)'} -> ${JSON.stringify(after) ?? '(none)'}`,
		),
		...problems.map((problem) => `would break: ${formatValue(problem)}`),
	];
};

/** Context of the commands of one kind. */
type Group = {
	readonly command: Command;
	readonly kind: ObjectKind;
	readonly io: Io;
};

type Action = (
	target: OperatorTarget,
	argument: string,
	flags: ApplyFlags,
) => Promise<void>;

const addCommand = (
	{command, io}: Group,
	usage: string,
	description: string,
	action: Action,
): Command =>
	addTargetFlags(command.command(usage))
		.description(description)
		.action(async (argument: string, flags: ApplyFlags) => {
			const target = await readTarget(flags, io);
			if (target) {
				await action(target, argument, flags);
			}
		});

const addWait = (command: Command): Command =>
	command.option('--wait <ms>', 'wait until in force on every entry');

const addList = ({command, kind, io}: Group) => {
	const path = `/v1/${kind.name}s`;
	addTargetFlags(command.command('list'))
		.description('list all')
		.action(async (flags: TargetFlags) => {
			const target = await readTarget(flags, io);
			if (!target) {
				return;
			}

			const answer = await callOperator(target, {method: 'GET', path});
			printAnswer(answer, flags, io, (fields) => {
				const objects = fields[`${kind.name}s`] as readonly Fields[];
				return objects.map((each) => formatValue(each[kind.keyField]));
			});
		});
};

const addShow = (group: Group) => {
	const {kind, io} = group;
	addCommand(
		group,
		'show <name>',
		'print one as TOML, with its version',
		async (target, key, flags) => {
			const path = getPath(kind, key);
			const answer = await callOperator(target, {method: 'GET', path});
			printAnswer(answer, flags, io, (fields) => [
				formatObject(fields[kind.name], answer.etag),
			]);
		},
	);
};

const addDiff = (group: Group) => {
	const {kind, io} = group;
	addCommand(
		group,
		'diff <file>',
		'show what applying a TOML file would change or break',
		async (target, file, flags) => {
			const {key, value: body} = await readObjectFile(kind, file);
			const path = `${getPath(kind, key)}/diff`;
			const answer = await callOperator(target, {method: 'POST', path, body});
			printAnswer(answer, flags, io, formatDiff);
		},
	);
};

const sendChange = async (
	{kind, io}: Group,
	target: OperatorTarget,
	change: Pick<OperatorCall, 'method' | 'body' | 'headers'> & {key: string},
	flags: ApplyFlags,
) => {
	const {key, ...rest} = change;
	const path = getPath(kind, key) + getWaitQuery(flags);
	const answer = await callOperator(target, {...rest, path});
	printAnswer(answer, flags, io, (fields) => [
		`${kind.name} ${key}: revision ${formatValue(fields.revision)}`,
		...formatInForce(fields),
	]);
};

const addCreate = (group: Group) => {
	const headers = {'if-none-match': '*'};
	const command = addCommand(
		group,
		'create <file>',
		'create one from a TOML file',
		async (target, file, flags) => {
			const {key, value: body} = await readObjectFile(group.kind, file);
			const change = {method: 'PUT', key, body, headers} as const;
			await sendChange(group, target, change, flags);
		},
	);
	addWait(command);
};

const addApply = (group: Group) => {
	const {kind, io} = group;
	const command = addCommand(
		group,
		'apply <file>',
		'change one to what a TOML file says',
		async (target, file, flags) => {
			const {key, value: body, etag} = await readObjectFile(kind, file);
			const version = flags.ifMatch ?? etag;
			if (version === undefined) {
				io.printError(
					`${file} has no version line; start from "gullstand ${kind.name} show", or give --if-match`,
				);
				io.setExitCode(exitCodes.usage);
				return;
			}

			const headers = {'if-match': version};
			const change = {method: 'PUT', key, body, headers} as const;
			await sendChange(group, target, change, flags);
		},
	);
	addWait(command).option(
		'--if-match <version>',
		'version it was read at, if not in the file',
	);
};

const addDelete = (group: Group) => {
	const command = addCommand(
		group,
		'delete <name>',
		'delete one',
		async (target, key, flags) => {
			const headers = {'if-match': flags.ifMatch ?? ''};
			const change = {method: 'DELETE', key, headers} as const;
			await sendChange(group, target, change, flags);
		},
	);
	addWait(command).requiredOption(
		'--if-match <version>',
		'version that it was read at',
	);
};

/** Registers the commands of every kind of object. */
export const registerObjects = (program: Command, io: Io) => {
	for (const kind of objectKinds) {
		const command = program.command(kind.name).description(kind.description);
		const group = {command, kind, io};
		addList(group);
		addShow(group);
		addDiff(group);
		addCreate(group);
		addApply(group);
		addDelete(group);
	}
};
