/** Input, output and exit codes of commands. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {Command} from 'commander';
import type {OperatorTarget} from '../client/operator-client.js';

/** Output and environment of a command. */
export type Io = {
	readonly print: (text: string) => void;
	readonly printError: (text: string) => void;
	readonly setExitCode: (code: number) => void;
	readonly env: Readonly<Record<string, string | undefined>>;
};

/** Exit codes of commands that call an entry. */
export const exitCodes = {
	done: 0,
	failed: 1,
	usage: 2,
	/** The object was changed by another operator since it was read. */
	conflict: 3,
	/** Committed, but not in force on every entry when the wait ended. */
	notInForce: 4,
	/** The outcome is unknown; the change history shows it. */
	unknown: 5,
} as const;

/** Output and environment of this process. */
export const processIo: Io = {
	print(text) {
		console.log(text);
	},
	printError(text) {
		console.error(text);
	},
	setExitCode(code) {
		process.exitCode = code;
	},
	env: process.env,
};

/** Flags that select an entry and the output format. */
export type TargetFlags = {
	readonly url?: string;
	readonly tokenFile?: string;
	readonly json?: boolean;
};

/** Adds the flags of every command that calls an entry. */
export const addTargetFlags = (command: Command): Command =>
	command
		.option('--url <url>', 'operator address of an entry, or GULLSTAND_URL')
		.option('--token-file <file>', 'file with the token, or GULLSTAND_TOKEN')
		.option('--json', 'print JSON', false);

/** Reads the URL and the token; undefined if one is missing. */
export const readTarget = async (
	flags: TargetFlags,
	io: Io,
): Promise<OperatorTarget | undefined> => {
	const url = flags.url ?? io.env.GULLSTAND_URL;
	const text =
		flags.tokenFile === undefined
			? io.env.GULLSTAND_TOKEN
			: await readFile(flags.tokenFile, 'utf8');
	const token = text?.trim();
	if (url !== undefined && token !== undefined) {
		return {url, token};
	}

	io.printError(
		'set --url or GULLSTAND_URL, and --token-file or GULLSTAND_TOKEN',
	);
	io.setExitCode(exitCodes.usage);
	return undefined;
};
