/** One call to an entry and how its answer is printed. */
import {callOperator, type OperatorCall} from '../client/operator-client.js';
import {printAnswer} from './answer.js';
import {readTarget, type Io, type TargetFlags} from './io.js';

/** Fields of an answer. */
export type Fields = Readonly<Record<string, unknown>>;

/** Lines for an answer's fields. */
export type FormatAnswer = (fields: Fields) => readonly string[];

/** Makes the call and prints its answer. */
export const callAndPrint = async (
	request: OperatorCall,
	flags: TargetFlags,
	io: Io,
	format: FormatAnswer,
): Promise<void> => {
	const target = await readTarget(flags, io);
	if (target) {
		printAnswer(await callOperator(target, request), flags, io, format);
	}
};
