/** Prints answers of an entry and chooses the exit code. */
import {stringify} from 'smol-toml';
import type {OperatorAnswer} from '../client/operator-client.js';
import {exitCodes, type Io, type TargetFlags} from './io.js';

type Fields = Readonly<Record<string, unknown>>;

/** A field as text. */
export const formatValue = (value: unknown): string =>
	typeof value === 'string' ? value : (JSON.stringify(value) ?? '(none)');

/** Fields of an answer; none if it is not an object. */
export const getFields = (answer: OperatorAnswer): Fields =>
	typeof answer.body === 'object' && answer.body !== null
		? (answer.body as Fields)
		: {};

/** First line of a file that `show` has written: the version it was read at. */
export const formatVersionLine = (etag: string): string => `# version ${etag}`;

const versionLine = /^# version ("\d{1,15}")$/mv;

/** The version that a file was read at, if it says one. */
export const readVersionLine = (text: string): string | undefined =>
	versionLine.exec(text)?.[1];

/** An object as TOML, with its version. */
export const formatObject = (value: unknown, etag: string | undefined) =>
	[
		...(etag === undefined ? [] : [formatVersionLine(etag)]),
		stringify(value).trimEnd(),
	].join('\n');

const formatLag = (lag: Fields): string =>
	`  ${formatValue(lag.entry)}: ${formatValue(lag.reason)}, at revision ${formatValue(lag.inForce)}`;

const formatFault = (fault: unknown): string => `  ${JSON.stringify(fault)}`;

/** Lines that say where a change is in force. */
export const formatInForce = (fields: Fields): readonly string[] => {
	if (fields.isInForce === undefined) {
		return [];
	}

	if (fields.isInForce === true) {
		return ['in force everywhere'];
	}

	const lagging = (fields.lagging ?? []) as readonly Fields[];
	const reason =
		fields.isUnknown === true
			? ['  the entries could not be read']
			: lagging.map((lag) => formatLag(lag));
	return ['not in force everywhere yet:', ...reason];
};

/** Lines that say why a call failed. */
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

/** The exit code for an answer. */
export const getExitCode = (answer: OperatorAnswer): number => {
	if (getFields(answer).outcome === 'unknown') {
		return exitCodes.unknown;
	}

	return (
		statusCodes[answer.status] ??
		(answer.status < 300 ? exitCodes.done : exitCodes.failed)
	);
};

/** Prints an answer, or why there is none; sets the exit code. */
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
