/** Reads the body of a request within size limits. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {fail, succeed, type errors, type Result} from '@gullstand/core';
import type {Reservation} from './byte-budget.js';

const emptyBody = new Uint8Array(0);

/** True if the headers of a request announce a body. */
export const hasBody = (req: IncomingMessage): boolean =>
	req.headers['transfer-encoding'] !== undefined ||
	Number(req.headers['content-length'] ?? 0) > 0;

const joinChunks = (chunks: readonly Uint8Array[]): Uint8Array => {
	const [first] = chunks;
	return chunks.length === 1 && first !== undefined
		? first
		: Buffer.concat(chunks);
};

/**
 * Resolves to the complete body, or fails early with `body-too-large`,
 * `overloaded` (the budget is exhausted) or `cancelled` (the caller
 * disconnected).
 */
export const readBody = async (
	req: IncomingMessage,
	maxBytes: number,
	reservation: Reservation,
): Promise<Result<Uint8Array, errors.ErrorKind>> => {
	if (!hasBody(req)) {
		return succeed(emptyBody);
	}

	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		return fail('body-too-large');
	}

	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let size = 0;

		const stopReading = (kind: errors.ErrorKind) => {
			req.pause();
			chunks.length = 0;
			resolve(fail(kind));
		};

		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				stopReading('body-too-large');
			} else if (reservation.add(chunk.length)) {
				chunks.push(chunk);
			} else {
				stopReading('overloaded');
			}
		});
		req.once('end', () => {
			resolve(succeed(joinChunks(chunks)));
		});
		req.once('close', () => {
			resolve(fail('cancelled'));
		});
		req.once('error', () => {
			resolve(fail('cancelled'));
		});
	});
};
