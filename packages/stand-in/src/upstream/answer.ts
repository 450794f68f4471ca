/** Answers that prove which request they belong to. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Header with the id of a request. */
export const requestIdHeader = 'x-request-id';

/** Header with the wanted length of the answer, in bytes. */
export const answerBytesHeader = 'x-answer-bytes';

/** Header of a declared refusal. */
export const refusalHeader = 'x-not-run';

/** The whole answer: a checksum of the request, repeated to a length. */
export const createAnswer = (
	requestId: string,
	requestBody: string,
	bytes: number,
): Buffer => {
	const checksum = createHash('sha256')
		.update(`${requestId}\n${requestBody}`)
		.digest('hex');
	return Buffer.alloc(bytes, checksum);
};
