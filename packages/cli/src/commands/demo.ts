/** `gullstand demo`: runs an embedded daemon under load. */
import process from 'node:process';
import type {Command} from 'commander';
import {hasDemoSucceeded, runDemo, type DemoReport} from '../demo/run-demo.js';

const printReport = (report: DemoReport) => {
	console.log('answers');
	console.table(report.loads);
	console.log('times per customer and class, in milliseconds');
	console.table(
		report.series.map(({counts, ...series}) => ({...series, ...counts})),
	);
	console.log(
		`wave ${report.wave.id} over pool ${report.wave.pools.join(', ')}: ${report.wave.state}, ` +
			`${report.waveDone} instances in ${report.waveSeconds.toFixed(1)} s, 0 job moves`,
	);
	console.log(`jobs: ${JSON.stringify(report.jobs)}`);
	console.log(
		`budget: ${report.budgetViolations} violations in ${report.budgetSamples} samples`,
	);
};

/** Registers `gullstand demo`. */
export const registerDemo = (program: Command) => {
	program
		.command('demo')
		.description('run an embedded daemon with load and a maintenance wave')
		.option('--json', 'print one line of JSON', false)
		.action(async ({json}: {json: boolean}) => {
			const report = await runDemo();
			if (json) {
				console.log(JSON.stringify(report));
			} else {
				printReport(report);
			}

			process.exitCode = hasDemoSucceeded(report) ? 0 : 1;
		});
};
