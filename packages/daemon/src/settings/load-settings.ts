/** Loads settings from TOML and describes their faults. */
import {readFile} from 'node:fs/promises';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {type Result, fail, succeed} from '@gullstand/core';
import {settingsSchema, type Settings} from './schema.js';

/** One fault: the key, the value found and what is allowed. */
export type SettingsFault = {
	readonly file: string;
	readonly key: string;
	readonly found: string;
	readonly allowed: string;
};

const maxShownChars = 60;

const secretKeys = new Set(['keyHex', 'sha256']);

const showValue = (key: string, value: unknown): string => {
	if (secretKeys.has(key)) {
		return '(a secret, not shown)';
	}

	const text = JSON.stringify(value) ?? 'nothing';
	return text.length > maxShownChars
		? `${text.slice(0, maxShownChars)}...`
		: text;
};

const getValueAt = (value: unknown, path: readonly PropertyKey[]): unknown => {
	let at = value;
	for (const key of path) {
		if (typeof at !== 'object' || at === null) {
			return undefined;
		}

		at = (at as Record<PropertyKey, unknown>)[key];
	}

	return at;
};

const describeIssue = (
	file: string,
	input: unknown,
	issue: z.core.$ZodIssue,
): SettingsFault[] => {
	const key = issue.path.join('.');
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map((unknownKey) => ({
			file,
			key: key ? `${key}.${unknownKey}` : unknownKey,
			found: 'an unknown key',
			allowed: 'only keys of docs/operators/settings.md',
		}));
	}

	const last = String(issue.path.at(-1) ?? '');
	return [
		{
			file,
			key: key || '(file)',
			found: showValue(last, getValueAt(input, issue.path)),
			allowed: issue.message,
		},
	];
};

/** Parses and validates TOML; `file` is only used in faults. */
export const parseTomlWithSchema = <Value>(
	schema: z.ZodType<Value>,
	file: string,
	text: string,
): Result<Value, readonly SettingsFault[]> => {
	let input: unknown;
	try {
		input = parse(text);
	} catch (err) {
		const found =
			err instanceof TomlError
				? `invalid TOML in line ${err.line}, column ${err.column}`
				: String(err);
		return fail([{file, key: '(file)', found, allowed: 'TOML is allowed'}]);
	}

	const parsed = schema.safeParse(input, {reportInput: true});
	return parsed.success
		? succeed(parsed.data)
		: fail(
				parsed.error.issues.flatMap((issue) =>
					describeIssue(file, input, issue),
				),
			);
};

/** Parses and validates settings; `file` is only used in faults. */
export const checkSettings = (
	file: string,
	text: string,
): Result<Settings, readonly SettingsFault[]> =>
	parseTomlWithSchema(settingsSchema, file, text);

/** Reads, parses and validates a TOML file. */
export const loadTomlWithSchema = async <Value>(
	schema: z.ZodType<Value>,
	file: string,
): Promise<Result<Value, readonly SettingsFault[]>> => {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (err) {
		const found = err instanceof Error ? err.message : String(err);
		return fail([
			{file, key: '(file)', found, allowed: 'a readable file is allowed'},
		]);
	}

	return parseTomlWithSchema(schema, file, text);
};

/** Reads, parses and validates a settings file. */
export const loadSettings = async (
	file: string,
): Promise<Result<Settings, readonly SettingsFault[]>> =>
	loadTomlWithSchema(settingsSchema, file);

/** Formats a fault as one line. */
export const formatFault = (fault: SettingsFault): string =>
	`${fault.file}: ${fault.key}: found ${fault.found}; ${fault.allowed}`;
