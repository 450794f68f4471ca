/** Reads a request's body within a bound, straight from the socket. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {type errors, type Result, fail, succeed} from '@gullstand/core';

const emptyBody = new Uint8Array(0);

/** Whether a request's header announces a body. */
export const hasBody = (req: IncomingMessage): boolean =>
	req.headers['transfer-encoding'] !== undefined ||
	Number(req.headers['content-length'] ?? 0) > 0;

/** Resolves to the whole body; `body-too-large` as soon as that is certain. */
export const readBody = async (
	req: IncomingMessage,
	maxBytes: number,
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
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				req.pause();
				chunks.length = 0;
				resolve(fail('body-too-large'));
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			const [first] = chunks;
			const isSingle = chunks.length === 1 && first !== undefined;
			resolve(succeed(isSingle ? first : Buffer.concat(chunks)));
		});
		req.once('close', () => {
			resolve(fail('cancelled'));
		});
		req.once('error', () => {
			resolve(fail('cancelled'));
		});
	});
};
