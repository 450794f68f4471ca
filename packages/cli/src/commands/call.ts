/** Calls an entry and prints the answer. */
import {callOperator, type OperatorCall} from '../client/operator-client.js';
import {printAnswer} from './answer.js';
import {readTarget, type Io, type TargetFlags} from './io.js';

/** Fields of a JSON answer. */
export type Fields = Readonly<Record<string, unknown>>;

/** Formats the fields of an answer as lines. */
export type FormatAnswer = (fields: Fields) => readonly string[];

/** Makes a call and prints its answer. */
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
