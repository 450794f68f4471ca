/** Tests exit codes, readiness and graceful stop of `gullstandd`. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import * as tap from 'tap';
import {request} from 'undici';

const bin = fileURLToPath(new URL('bin.js', import.meta.url));

const start = (t: tap.Test, args: readonly string[]): ChildProcess => {
	const child = spawn(process.execPath, [bin, ...args], {
		stdio: ['ignore', 'ignore', 'pipe'],
	});
	t.teardown(() => child.kill('SIGKILL'));
	return child;
};

type Line = {
	message?: string;
	callerPort?: number;
	operatorPort?: number;
};

const waitForLine = async (child: ChildProcess, message: string) => {
	for await (const text of createInterface({input: child.stderr!})) {
		const line = JSON.parse(text) as Line;
		if (line.message === message) {
			return line;
		}
	}

	throw new Error(`no line ${message}`);
};

const waitForExit = async (child: ChildProcess): Promise<number> => {
	const [code] = (await once(child, 'exit')) as [number];
	return code;
};

const writeSettings = async (t: tap.Test, text: string): Promise<string> => {
	const folder = await mkdtemp(path.join(tmpdir(), 'gullstand-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const file = path.join(folder, 'entry.toml');
	await writeFile(file, text);
	return file;
};

const settings = `
[entry]
id = "entry-1"
region = "r"
availabilityZone = "z"
[caller]
address = "127.0.0.1"
port = 0
[operator]
address = "127.0.0.1"
port = 0
[platform]
kind = "memory"
[stop]
readinessDelayMs = 1500
deadlineMs = 5000
`;

tap.t.test('wrong settings or usage exit with 2', async (t) => {
	const wrong = await writeSettings(t, `${settings}\nnonsense = 1`);
	for (const args of [
		['--config', wrong],
		['--config', '/nonexistent'],
		[],
		['--nonsense'],
	]) {
		t.equal(await waitForExit(start(t, args)), 2, args.join(' '));
	}
});

const getStatus = async (port: number, route: string): Promise<number> => {
	const res = await request(`http://127.0.0.1:${port}${route}`);
	await res.body.dump();
	return res.statusCode;
};

const startServing = async (t: tap.Test) => {
	const child = start(t, ['--config', await writeSettings(t, settings)]);
	const line = await waitForLine(child, 'serving');
	child.stderr!.resume();
	return {child, port: line.operatorPort ?? 0};
};

tap.t.test('SIGTERM ends readiness and then exits with 0', async (t) => {
	const {child, port} = await startServing(t);
	t.equal(await getStatus(port, '/healthz'), 200);
	t.equal(await getStatus(port, '/readyz'), 200);
	const exit = waitForExit(child);
	child.kill('SIGTERM');
	while ((await getStatus(port, '/readyz')) === 200) {
		// Waits until the signal is handled.
	}

	t.equal(await getStatus(port, '/readyz'), 503);
	t.equal(await exit, 0);
});

tap.t.test('a second signal exits at once with 3', async (t) => {
	const {child, port} = await startServing(t);
	const exit = waitForExit(child);
	child.kill('SIGTERM');
	while ((await getStatus(port, '/readyz')) === 200) {
		// Waits until the signal is handled.
	}

	child.kill('SIGTERM');
	t.equal(await exit, 3);
});
