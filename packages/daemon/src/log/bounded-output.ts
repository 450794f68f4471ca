/**
 * An output for log lines that never holds the process up: lines wait in a
 * queue of fixed size, what does not fit is dropped and counted.
 */
import {Buffer} from 'node:buffer';
import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

/** Writes bytes to where the lines go; calls back once they are taken. */
export type WriteBytes = (
	bytes: Uint8Array,
	done: (err: Error | null, written: number) => void,
) => void;

const writeToFile =
	(descriptor: number): WriteBytes =>
	(bytes, done) => {
		write(descriptor, bytes, done);
	};

const writeToPipe = (descriptor: number): WriteBytes => {
	const socket = new Socket({fd: descriptor, readable: false, writable: true});
	// Each write reports its own failure.
	socket.on('error', () => undefined);
	return (bytes, done) => {
		socket.write(bytes, (err) => {
			done(err ?? null, err ? 0 : bytes.length);
		});
	};
};

/**
 * Writes to a file descriptor without blocking. A pipe that nobody reads must
 * not hold a thread: a process whose threads are held cannot end.
 */
export const writeToDescriptor = (descriptor: number): WriteBytes => {
	const stats = fstatSync(descriptor);
	return stats.isFIFO() || stats.isSocket()
		? writeToPipe(descriptor)
		: writeToFile(descriptor);
};

/** Bytes that may wait; origin: about a second of a burst's lines. */
export const defaultMaxWaitingBytes = 512 * 1024;

/** The output and what it has dropped. */
export type BoundedOutput = {
	readonly stream: Writable;
	readonly countDropped: () => number;
	/** Resolves once nothing waits, or after `withinMs`. */
	readonly flush: (withinMs: number) => Promise<void>;
};

const flushPollMs = 5;

/** Creates an output. */
export const createBoundedOutput = (
	writeBytes: WriteBytes,
	maxWaitingBytes: number = defaultMaxWaitingBytes,
): BoundedOutput => {
	let waiting: Buffer[] = [];
	let waitingBytes = 0;
	const state = {isWriting: false};
	let dropped = 0;
	let untold = 0;

	const tellDropped = () => {
		if (untold > 0) {
			const line = {level: 'warn', message: 'log lines dropped', lines: untold};
			untold = 0;
			waiting.push(Buffer.from(`${JSON.stringify(line)}\n`));
		}
	};

	const writeAll = (bytes: Buffer) => {
		writeBytes(bytes, (err, written) => {
			if (!err && written < bytes.length) {
				writeAll(bytes.subarray(written));
				return;
			}

			// A broken output takes no lines; there is nowhere to say so.
			state.isWriting = false;
			writeNext();
		});
	};

	const writeNext = () => {
		if (state.isWriting) {
			return;
		}

		tellDropped();
		if (waiting.length === 0) {
			return;
		}

		const bytes = Buffer.concat(waiting);
		waiting = [];
		waitingBytes = 0;
		state.isWriting = true;
		writeAll(bytes);
	};

	const stream = new Writable({
		decodeStrings: true,
		write(chunk: Buffer, _encoding, done) {
			if (waitingBytes + chunk.length > maxWaitingBytes) {
				dropped += 1;
				untold += 1;
			} else {
				waiting.push(chunk);
				waitingBytes += chunk.length;
				writeNext();
			}

			done();
		},
	});

	return {
		stream,
		countDropped: () => dropped,
		async flush(withinMs) {
			const until = performance.now() + withinMs;
			while (
				(state.isWriting || waiting.length > 0) &&
				performance.now() < until
			) {
				await new Promise((resolve) => {
					setTimeout(resolve, flushPollMs);
				});
			}
		},
	};
};
