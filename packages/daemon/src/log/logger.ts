/**
 * Logger that writes JSON lines, or text on a terminal. Values under secret
 * keys are never written.
 */
import process from 'node:process';
import winston from 'winston';
import type {Settings} from '../settings/schema.js';

/** The logger of a daemon. */
export type Logger = winston.Logger;

const secretKeys = new Set([
	'authorization',
	'cookie',
	'token',
	'keyHex',
	'sha256',
	'tokenHashes',
	'idempotency-key',
]);

const hidden = '[hidden]';

const hideValue = (key: string, value: unknown): unknown =>
	secretKeys.has(key) || secretKeys.has(key.toLowerCase()) ? hidden : value;

const hideSecrets = winston.format((info) => {
	for (const key of Object.keys(info)) {
		info[key] = hideDeep(key, info[key]);
	}

	return info;
});

const hideDeep = (key: string, value: unknown): unknown => {
	const shown = hideValue(key, value);
	if (shown === hidden || typeof shown !== 'object' || shown === null) {
		return shown;
	}

	if (Array.isArray(shown)) {
		return shown.map((each) => hideDeep(key, each));
	}

	return Object.fromEntries(
		Object.entries(shown).map(([name, each]) => [name, hideDeep(name, each)]),
	);
};

const formatLine = winston.format.printf((info) => {
	const {timestamp, level, message, ...rest} = info;
	const details = Object.entries(rest)
		.map(([key, value]) => `${key}=${JSON.stringify(value)}`)
		.join(' ');
	return `${String(timestamp)} ${level} ${String(message)} ${details}`.trimEnd();
});

const isText = (format: Settings['log']['format']): boolean =>
	format === 'text' || (format === 'auto' && process.stderr.isTTY);

/** Creates a logger that writes to `stream`, by default standard error. */
export const createLogger = (
	settings: Settings['log'],
	entry: string,
	stream: NodeJS.WritableStream = process.stderr,
): Logger =>
	winston.createLogger({
		level: settings.level,
		defaultMeta: {entry},
		format: winston.format.combine(
			hideSecrets(),
			winston.format.timestamp(),
			isText(settings.format) ? formatLine : winston.format.json(),
		),
		transports: [new winston.transports.Stream({stream})],
	});
