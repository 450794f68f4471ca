/** Runs command lines against an embedded daemon, for tests. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import {Command} from 'commander';
import type * as tap from 'tap';
import {
	createDaemon,
	createEmbeddedJobs,
	createEmbeddedSettings,
	createLogger,
	embeddedOperatorToken,
	startEmbeddedPlatform,
} from '@gullstand/daemon';
import {registerFleet} from './fleet.js';
import {exitCodes, type Io} from './io.js';
import {registerJob} from './job.js';
import {registerObjects} from './objects.js';
import {registerTeam} from './team.js';

/** Runs a command line with the commands that `register` adds. */
export const runCommandLine = async (
	daemon: Pick<ReturnType<typeof createDaemon>, 'getOperatorPort'>,
	register: (program: Command, io: Io) => void,
	words: readonly string[],
) => {
	const lines: string[] = [];
	let code: number = exitCodes.done;
	const io: Io = {
		print: (text) => lines.push(text),
		printError: (text) => lines.push(text),
		setExitCode(exitCode) {
			code = exitCode;
		},
		env: {
			GULLSTAND_URL: `http://127.0.0.1:${daemon.getOperatorPort()}`,
			GULLSTAND_TOKEN: embeddedOperatorToken,
		},
	};
	const program = new Command('gullstand');
	register(program, io);
	await program.parseAsync(words, {from: 'user'});
	return {code, lines, text: lines.join('\n')};
};

/** Starts the daemon; `run` runs one command line, `write` a file. */
export const startFixture = async (t: tap.Test) => {
	const now = () => performance.now();
	const settings = createEmbeddedSettings();
	const {platform, close} = await startEmbeddedPlatform(now);
	const logger = createLogger(settings.log, 'test', new PassThrough().resume());
	const jobs = createEmbeddedJobs(now, logger);
	const daemon = createDaemon({settings, platform, logger, now, jobs});
	await daemon.start((err) => {
		throw err;
	});
	const folder = await mkdtemp(join(tmpdir(), 'gullstand-'));
	t.teardown(async () => {
		await daemon.stop();
		await close();
		await rm(folder, {recursive: true});
	});
	const register = (program: Command, io: Io) => {
		registerObjects(program, io);
		registerFleet(program, io);
		registerJob(program, io);
		registerTeam(program, io);
	};

	const run = async (...words: string[]) =>
		runCommandLine(daemon, register, words);

	const write = async (name: string, text: string) => {
		const file = join(folder, name);
		await writeFile(file, text);
		return file;
	};

	return {run, write};
};
