/** Client of an entry's operator API. */
import {request} from 'undici';

/** URL of the operator API and the token for it. */
export type OperatorTarget = {
	readonly url: string;
	readonly token: string;
};

/** One call to the operator API. */
export type OperatorCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

/** An answer of the operator API. */
export type OperatorAnswer = {
	readonly status: number;
	readonly etag: string | undefined;
	readonly body: unknown;
};

const timeoutMs = 60_000;

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
};

/** Makes one call; rejects only if no answer was received. */
export const callOperator = async (
	target: OperatorTarget,
	{method, path, body, headers}: OperatorCall,
): Promise<OperatorAnswer> => {
	const res = await request(new URL(path, target.url), {
		method,
		headers: {
			authorization: `Bearer ${target.token}`,
			...(body !== undefined && {'content-type': 'application/json'}),
			...headers,
		},
		body: body === undefined ? null : JSON.stringify(body),
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
	});
	const {etag} = res.headers;
	return {
		status: res.statusCode,
		etag: typeof etag === 'string' ? etag : undefined,
		body: parseJson(await res.body.text()),
	};
};
