/**
 * Log output that never blocks the process: lines are queued up to a fixed
 * size, and lines beyond it are dropped and counted.
 */
import {Buffer} from 'node:buffer';
import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

/** Writes bytes to the destination; calls back once they are written. */
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
	// Each write reports its error to its callback.
	socket.on('error', () => undefined);
	return (bytes, done) => {
		socket.write(bytes, (err) => {
			done(err ?? null, err ? 0 : bytes.length);
		});
	};
};

/**
 * Creates a non-blocking writer for a file descriptor. A pipe without a reader
 * must not occupy a thread, since the process could not exit then.
 */
export const writeToDescriptor = (descriptor: number): WriteBytes => {
	const stats = fstatSync(descriptor);
	return stats.isFIFO() || stats.isSocket()
		? writeToPipe(descriptor)
		: writeToFile(descriptor);
};

/** Default limit of queued bytes: about one second of lines in a burst. */
export const defaultMaxWaitingBytes = 512 * 1024;

/** An output stream and the number of its dropped lines. */
export type BoundedOutput = {
	readonly stream: Writable;
	readonly countDropped: () => number;
	/** Resolves once all lines are written, or after `withinMs`. */
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
	let unreported = 0;

	const reportDropped = () => {
		if (unreported > 0) {
			const line = {
				level: 'warn',
				message: 'log lines dropped',
				lines: unreported,
			};
			unreported = 0;
			waiting.push(Buffer.from(`${JSON.stringify(line)}\n`));
		}
	};

	const writeAll = (bytes: Buffer) => {
		writeBytes(bytes, (err, written) => {
			if (!err && written < bytes.length) {
				writeAll(bytes.subarray(written));
				return;
			}

			// A write error loses the lines, and there is nowhere to report it.
			state.isWriting = false;
			writeNext();
		});
	};

	const writeNext = () => {
		if (state.isWriting) {
			return;
		}

		reportDropped();
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
				unreported += 1;
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
