/** Reads a request's body within bounds, straight from the socket. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {fail, succeed, type errors, type Result} from '@gullstand/core';
import type {Reservation} from './byte-budget.js';

const emptyBody = new Uint8Array(0);

/** Whether a request's header announces a body. */
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
 * Resolves to the whole body, or, as soon as that is certain, to
 * `body-too-large`, `overloaded` (the reservation's budget is spent) or
 * `cancelled` (the caller went away).
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

		const giveUp = (kind: errors.ErrorKind) => {
			req.pause();
			chunks.length = 0;
			resolve(fail(kind));
		};

		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				giveUp('body-too-large');
			} else if (reservation.add(chunk.length)) {
				chunks.push(chunk);
			} else {
				giveUp('overloaded');
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
