/** JSON calls over a connection, with validation of the answers. */
import * as core from '@gullstand/core';
import type * as zod from 'zod';
import type {HttpConnection} from './connection.js';
import type {HttpAnswer, HttpFailure} from './exchange.js';

/** A call and the schemas of its answer and of its refusal. */
export type JsonCall<Value, Failure> = {
	readonly path: string;
	readonly body: unknown;
	readonly answer: zod.ZodType<Value>;
	readonly refusal: zod.ZodType<Failure>;
};

const okStatus = 200;

const parseJson = (body: Uint8Array): unknown => {
	try {
		return JSON.parse(new TextDecoder().decode(body));
	} catch {
		return undefined;
	}
};

/** An invalid answer leaves the effect unknown, as a timeout does. */
const readAnswer = <Value, Failure>(
	{answer, refusal}: JsonCall<Value, Failure>,
	{status, body}: HttpAnswer,
): core.Result<Value, Failure | HttpFailure> => {
	const parsed = parseJson(body);
	if (status === okStatus) {
		const checked = answer.safeParse(parsed);
		return checked.success
			? core.succeed(checked.data)
			: core.fail({kind: 'timeout'});
	}

	const checked = refusal.safeParse(parsed);
	return core.fail(checked.success ? checked.data : {kind: 'timeout'});
};

/** Posts a JSON body and validates the answer. */
export const postJson = async <Value, Failure>(
	connection: HttpConnection,
	call: JsonCall<Value, Failure>,
): Promise<core.Result<Value, Failure | HttpFailure>> => {
	const result = await connection.call({
		method: 'POST',
		path: call.path,
		contentType: 'application/json',
		body: JSON.stringify(call.body),
	});
	return result.ok ? readAnswer(call, result.value) : result;
};
