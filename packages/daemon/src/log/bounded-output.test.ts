/** A log output without a reader must not block the process. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import * as tap from 'tap';
import {
	createBoundedOutput,
	defaultMaxWaitingBytes,
	type WriteBytes,
} from './bounded-output.js';

type Done = Parameters<WriteBytes>[1];

/** A destination whose writes complete only when the test completes them. */
const createSlowSink = () => {
	const pending: Array<{readonly bytes: Uint8Array; readonly done: Done}> = [];
	let taken = '';
	return {
		write: ((bytes, done) => {
			pending.push({bytes, done});
		}) satisfies WriteBytes,
		getTaken: () => taken,
		countPending: () => pending.length,
		/** Completes the oldest write with at most `most` bytes, by default all. */
		take(most?: number) {
			const oldest = pending.shift();
			if (oldest) {
				const bytes = oldest.bytes.subarray(0, most ?? oldest.bytes.length);
				taken += Buffer.from(bytes).toString();
				oldest.done(null, bytes.length);
			}
		},
		fail() {
			pending.shift()?.done(new Error('EPIPE'), 0);
		},
	};
};

tap.t.test('lines are written in order, one write at a time', (t) => {
	const sink = createSlowSink();
	const output = createBoundedOutput(sink.write);
	for (const line of ['one\n', 'two\n', 'three\n']) {
		output.stream.write(line);
	}

	t.equal(sink.countPending(), 1);
	sink.take(2);
	sink.take();
	t.equal(sink.getTaken(), 'one\n');
	sink.take();
	t.equal(sink.getTaken(), 'one\ntwo\nthree\n');
	t.equal(sink.countPending(), 0);
	t.equal(output.countDropped(), 0);
	t.end();
});

tap.t.test('excess lines are dropped, counted and reported', (t) => {
	const sink = createSlowSink();
	const output = createBoundedOutput(sink.write, 10);
	output.stream.write('in write\n');
	for (const line of ['123456789\n', 'lost one\n', 'lost two\n']) {
		output.stream.write(line);
	}

	t.equal(output.countDropped(), 2);
	sink.take();
	sink.take();
	const report = sink.getTaken().split('\n').at(2) ?? '';
	t.match(JSON.parse(report), {message: 'log lines dropped', lines: 2});
	output.stream.write('again\n');
	sink.take();
	t.ok(sink.getTaken().endsWith('again\n'));
	t.end();
});

tap.t.test('a failed write loses its lines, the next succeeds', (t) => {
	const sink = createSlowSink();
	const output = createBoundedOutput(sink.write);
	output.stream.write('lost\n');
	sink.fail();
	output.stream.write('kept\n');
	sink.take();
	t.equal(sink.getTaken(), 'kept\n');
	t.end();
});

tap.t.test('a flush ends in time without a reader', async (t) => {
	const sink = createSlowSink();
	const output = createBoundedOutput(sink.write);
	output.stream.write('never taken\n');
	await output.flush(20);
	t.equal(sink.countPending(), 1);
});

/**
 * Writes four times the queue limit to standard output, which has no reader,
 * prints the number of dropped lines to standard error and exits.
 */
const program = `
	const {createBoundedOutput, writeToDescriptor, defaultMaxWaitingBytes} =
		await import(process.argv[1]);
	const output = createBoundedOutput(writeToDescriptor(1));
	const line = 'x'.repeat(1023) + '\\n';
	for (let bytes = 0; bytes < 4 * defaultMaxWaitingBytes; bytes += 1024) {
		output.stream.write(line);
		await new Promise((resolve) => setImmediate(resolve));
	}
	await output.flush(20);
	console.error(JSON.stringify({dropped: output.countDropped()}));
	process.exit(7);
`;

tap.t.test('a process continues and exits on a full pipe', async (t) => {
	const module = new URL('bounded-output.js', import.meta.url).href;
	const child = spawn(
		process.execPath,
		['--input-type=module', '--eval', program, module],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	t.teardown(() => child.kill('SIGKILL'));
	const exited = once(child, 'exit');
	const [text] = (await once(
		createInterface({input: child.stderr}),
		'line',
	)) as [string];
	const {dropped} = JSON.parse(text) as {dropped: number};
	const written = (4 * defaultMaxWaitingBytes) / 1024;
	t.ok(dropped > 0, `${dropped} of ${written} lines dropped`);
	t.ok(dropped < written);
	t.same(await exited, [7, null]);
});
