/** `gullstand config`: checks settings files of entries. */
import process from 'node:process';
import type {Command} from 'commander';
import {formatFault, loadSettings} from '@gullstand/daemon';

const invalidSettingsExitCode = 2;

const checkConfig = async (file: string) => {
	const loaded = await loadSettings(file);
	if (loaded.ok) {
		console.log(`${file}: ok`);
		return;
	}

	for (const fault of loaded.error) {
		console.error(formatFault(fault));
	}

	process.exitCode = invalidSettingsExitCode;
};

/** Registers `gullstand config`. */
export const registerConfig = (program: Command) => {
	const config = program.command('config').description('settings of an entry');
	config
		.command('check')
		.argument('<file>', 'settings in TOML')
		.description('check a settings file without starting anything')
		.action(checkConfig);
};
