/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no type information for JavaScript where CI=true is set. */
/** Runs a case and turns its outcome into the exit code of its script. */
import process from 'node:process';

/** The script may run for 120 seconds. */
const maxMs = 112_000;

const codes = {held: 0, broken: 1, unable: 2};

/** Whether the case is to be run with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
 * Runs `play`, which resolves to the texts of what broke the rule, or to
 * `undefined` if the case could not run.
 */
export const runCase = async (world, play) => {
	let code = codes.unable;
	const finish = async () => {
		await world.stop();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const timer = setTimeout(async () => {
		world.note({kind: 'the case took too long'});
		code = codes.unable;
		await finish();
	}, maxMs);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, finish);
	}

	try {
		const breaks = (await world.start()) ? await play() : undefined;
		if (breaks) {
			code = breaks.length > 0 ? codes.broken : codes.held;
			for (const text of breaks.slice(0, 10)) {
				world.note({kind: 'rule broken', text});
				console.log(text);
			}
		}

		world.note({kind: 'verdict', code, breaks: breaks?.length});
		console.log(`exit code ${code}, ${breaks?.length ?? 'no'} breaks`);
	} catch (err) {
		world.note({kind: 'failed', error: String(err?.stack ?? err)});
		console.log(err);
	}

	clearTimeout(timer);
	await finish();
};
