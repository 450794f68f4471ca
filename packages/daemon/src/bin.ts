#!/usr/bin/env node
/** Command line of `gullstandd`, which runs one entry. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Command, InvalidArgumentError, Option} from 'commander';
import {createDaemon} from './daemon.js';
import {createEmbeddedJobs} from './embedded/embedded-jobs.js';
import {startEmbeddedPlatform} from './embedded/embedded-platform.js';
import {createEmbeddedSettings} from './embedded/embedded-settings.js';
import {createLogger} from './log/logger.js';
import {openPlatform} from './platform/open-platform.js';
import {exitCodes, runProcess} from './run-process.js';
import {formatFault, loadSettings} from './settings/load-settings.js';

type Flags = {
	config?: string;
	embedded?: boolean;
	callerPort: number;
	operatorPort: number;
};

const now = () => performance.now();

const parsePort = (text: string): number => {
	const port = Number(text);
	if (!Number.isInteger(port) || port < 0 || port > 65_535) {
		throw new InvalidArgumentError('a port from 0 to 65535 is needed');
	}

	return port;
};

const readSettings = async (flags: Flags) => {
	if (flags.config === undefined) {
		return createEmbeddedSettings(flags.callerPort, flags.operatorPort);
	}

	const loaded = await loadSettings(flags.config);
	if (loaded.ok) {
		return loaded.value;
	}

	for (const fault of loaded.error) {
		console.error(formatFault(fault));
	}

	return undefined;
};

const run = async (flags: Flags) => {
	if (!flags.embedded && flags.config === undefined) {
		console.error('gullstandd: --config FILE or --embedded is needed');
		process.exitCode = exitCodes.badSettings;
		return;
	}

	const settings = await readSettings(flags);
	if (!settings) {
		process.exitCode = exitCodes.badSettings;
		return;
	}

	const logger = createLogger(settings.log, settings.entry.id);
	const {platform, close} = flags.embedded
		? await startEmbeddedPlatform(now)
		: openPlatform(settings.platform, now);
	const jobs = flags.embedded ? createEmbeddedJobs(now, logger) : undefined;
	const daemon = createDaemon({
		settings,
		platform,
		logger,
		now,
		...(jobs ? {jobs} : {}),
	});
	await runProcess(daemon, logger, close);
};

const program = new Command('gullstandd')
	.description('One entry of gullstand: stands between callers and upstreams.')
	.option('--config <file>', 'settings in TOML')
	.addOption(
		new Option(
			'--embedded',
			'run with a platform in memory and two small services',
		).conflicts('config'),
	)
	.option('--caller-port <port>', 'with --embedded', parsePort, 8080)
	.option('--operator-port <port>', 'with --embedded', parsePort, 8081)
	.addHelpText(
		'after',
		`
Examples:
  gullstandd --config /etc/gullstand/entry.toml
  gullstandd --embedded --caller-port 8080
  curl -H 'Authorization: Bearer demo-caller-token' http://127.0.0.1:8080/s/quoting/

Exit codes: 0 stopped, 1 failed, 2 wrong settings or usage, 3 second signal.`,
	)
	.action(run);

program.exitOverride((err) => {
	process.exit(err.exitCode === 0 ? 0 : exitCodes.badSettings);
});
await program.parseAsync();
