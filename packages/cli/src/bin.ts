#!/usr/bin/env node
/** `gullstand`: the operators' command line. */
import {Command} from 'commander';
import {registerConfig} from './commands/config.js';
import {registerDemo} from './commands/demo.js';

const program = new Command('gullstand')
	.description('Operators of gullstand change contracts and declare waves.')
	.addHelpText(
		'after',
		`
Examples:
  gullstand config check /etc/gullstand/entry.toml
  gullstand demo`,
	);
registerConfig(program);
registerDemo(program);
await program.parseAsync();
