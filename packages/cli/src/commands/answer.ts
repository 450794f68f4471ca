/** Prints answers of an entry and sets the exit code. */
import {stringify} from 'smol-toml';
import type {OperatorAnswer} from '../client/operator-client.js';
import {exitCodes, type Io, type TargetFlags} from './io.js';

type Fields = Readonly<Record<string, unknown>>;

/** Formats a field as text. */
export const formatValue = (value: unknown): string =>
	typeof value === 'string' ? value : (JSON.stringify(value) ?? '(none)');

/** Returns the fields of an answer; none if its body is not an object. */
export const getFields = (answer: OperatorAnswer): Fields =>
	typeof answer.body === 'object' && answer.body !== null
		? (answer.body as Fields)
		: {};

/** Formats the first line of a `show` output: the version of the object. */
export const formatVersionLine = (etag: string): string => `# version ${etag}`;

const versionLine = /^# version ("\d{1,15}")$/mv;

/** Returns the version from the version line, if there is one. */
export const readVersionLine = (text: string): string | undefined =>
	versionLine.exec(text)?.[1];

/** Formats an object as TOML, with its version. */
export const formatObject = (value: unknown, etag: string | undefined) =>
	[
		...(etag === undefined ? [] : [formatVersionLine(etag)]),
		stringify(value).trimEnd(),
	].join('\n');

const formatPendingEntry = (entry: Fields): string =>
	`  ${formatValue(entry.entry)}: ${formatValue(entry.reason)}, at revision ${formatValue(entry.inForce)}`;

const formatFault = (fault: unknown): string => `  ${JSON.stringify(fault)}`;

/** Formats where a change is in force, as lines. */
export const formatInForce = (fields: Fields): readonly string[] => {
	if (fields.isInForce === undefined) {
		return [];
	}

	if (fields.isInForce === true) {
		return ['in force everywhere'];
	}

	const pending = (fields.lagging ?? []) as readonly Fields[];
	const reason =
		fields.isUnknown === true
			? ['  the entries could not be read']
			: pending.map((each) => formatPendingEntry(each));
	return ['not in force everywhere yet:', ...reason];
};

/** Formats why a call failed, as lines. */
export const formatFailure = (answer: OperatorAnswer): readonly string[] => {
	const fields = getFields(answer);
	const {error, message, outcome, operationId} = fields;
	const details = [fields.faults, fields.problems].flat();
	return [
		`${formatValue(error ?? answer.status)}: ${formatValue(message ?? 'the call failed')} (outcome: ${formatValue(outcome ?? 'unknown')})`,
		...details
			.filter((detail) => detail !== undefined)
			.map((detail) => formatFault(detail)),
		...(operationId === undefined
			? []
			: [
					`  look it up: gullstand change list --id ${formatValue(operationId)}`,
				]),
		...(fields.current && answer.etag !== undefined
			? ['it is now:', formatObject(fields.current, answer.etag)]
			: []),
	];
};

const statusCodes: Readonly<Record<number, number>> = {
	202: exitCodes.notInForce,
	400: exitCodes.usage,
	409: exitCodes.conflict,
};

/** Returns the exit code for an answer. */
export const getExitCode = (answer: OperatorAnswer): number => {
	if (getFields(answer).outcome === 'unknown') {
		return exitCodes.unknown;
	}

	return (
		statusCodes[answer.status] ??
		(answer.status < 300 ? exitCodes.done : exitCodes.failed)
	);
};

/** Prints an answer or why the call failed, and sets the exit code. */
export const printAnswer = (
	answer: OperatorAnswer,
	flags: TargetFlags,
	io: Io,
	format: (fields: Fields) => readonly string[],
): void => {
	io.setExitCode(getExitCode(answer));
	if (flags.json) {
		const {status, etag, body} = answer;
		io.print(JSON.stringify({status, etag: etag ?? null, body}));
		return;
	}

	if (answer.status >= 300) {
		io.printError(formatFailure(answer).join('\n'));
		return;
	}

	io.print(format(getFields(answer)).join('\n'));
};
