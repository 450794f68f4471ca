/** Answers that can be verified against their requests. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Header with the id of a request. */
export const requestIdHeader = 'x-request-id';

/** Header with the requested length of the answer, in bytes. */
export const answerBytesHeader = 'x-answer-bytes';

/** Header of a refusal that declares the request was not run. */
export const refusalHeader = 'x-not-run';

/** Creates an answer: a checksum of the request, repeated to `bytes`. */
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
