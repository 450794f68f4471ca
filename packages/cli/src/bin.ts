#!/usr/bin/env node
/** `gullstand`: the command line for operators. */
import {Command} from 'commander';
import {registerConfig} from './commands/config.js';
import {registerDemo} from './commands/demo.js';
import {registerFleet} from './commands/fleet.js';
import {processIo} from './commands/io.js';
import {registerJob} from './commands/job.js';
import {registerObjects} from './commands/objects.js';
import {registerTeam} from './commands/team.js';
import {registerWave} from './commands/wave.js';

const program = new Command('gullstand')
	.description('Operators of gullstand change contracts and declare waves.')
	.addHelpText(
		'after',
		`
Examples:
  gullstand config check /etc/gullstand/entry.toml
  gullstand demo
  gullstand contract show brokers > brokers.toml
  gullstand contract diff brokers.toml
  gullstand contract apply brokers.toml --wait 10000
  gullstand job submit rating job.toml --id 0123456789abcdef
  gullstand explain rating 0123456789abcdef
  gullstand change list --object contract/brokers
  gullstand wave plan july --pool quoting --hours 12 --weights few-moves
  gullstand wave start july && gullstand wave status july --watch

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 changed by another since it was
read, 4 not in force everywhere yet, 5 outcome unknown.`,
	);
registerConfig(program);
registerDemo(program);
registerObjects(program, processIo);
registerFleet(program, processIo);
registerWave(program, processIo);
registerJob(program, processIo);
registerTeam(program, processIo);
await program.parseAsync();
