/** What a follower says of its feed, for those who have only its lines. */
import {fail, succeed} from '@gullstand/core';
import type {Feed, RowStoreError} from '@gullstand/ports';
import * as tap from 'tap';
import winston from 'winston';
import {createFeedFollower} from './feed-follower.js';

const periods = {waitMs: 0, pauseMs: 0, timeoutMs: 10, retryMs: 1};

type Line = readonly [message: string, fields: unknown];

/** Follows a feed whose first change fails; the lines until it is regained. */
const followThrough = async (error: RowStoreError): Promise<readonly Line[]> =>
	new Promise((resolve, reject) => {
		const lines: Line[] = [];
		const answers = [fail(error), succeed({entries: [], version: 2})];
		const logger = winston.createLogger({silent: true});
		const note = ((message: string, fields: unknown) => {
			lines.push([message, fields]);
			return logger;
		}) as typeof logger.info;

		const feed: Feed<string> = {
			readAll: async () => succeed({entries: [], version: 1}),
			async readChanges() {
				const answer = answers.shift();
				if (answer) {
					return answer;
				}

				follower.stop();
				resolve(lines);
				return succeed({entries: [], version: 2});
			},
		};
		const follower = createFeedFollower<string>({
			name: 'f',
			feed,
			periods,
			clock: {now: () => 5, epochNow: () => 5},
			logger: {info: note, warn: note},
			onSnapshot: () => undefined,
			onChanges: () => undefined,
		});
		follower.start(reject);
	});

const cases: ReadonlyArray<{
	readonly name: string;
	readonly error: RowStoreError;
	readonly fields: Readonly<Record<string, unknown>>;
}> = [
	{
		name: 'no answer began',
		error: {kind: 'timeout'},
		fields: {reason: 'timeout', receivedBytes: undefined},
	},
	{
		name: 'an answer was cut off',
		error: {kind: 'timeout', receivedBytes: 1_050_000},
		fields: {reason: 'timeout', receivedBytes: 1_050_000},
	},
	{
		name: 'the store refuses',
		error: {kind: 'unavailable'},
		fields: {reason: 'unavailable', receivedBytes: undefined},
	},
];

for (const {name, error, fields} of cases) {
	tap.t.test(`a lost feed says why: ${name}`, async (t) => {
		t.same(await followThrough(error), [
			['feed lost', {feed: 'f', ...fields}],
			['feed regained', {feed: 'f', awayMs: 0}],
		]);
	});
}

tap.t.test(
	'an answer without changes is told to whom it matters',
	async (t) => {
		const told: string[] = [];
		const answers = [
			succeed({entries: [{key: 'k', value: 'v'}], version: 2}),
			succeed({entries: [], version: 3}),
		];
		await new Promise<void>((resolve, reject) => {
			const follower = createFeedFollower<string>({
				name: 'f',
				feed: {
					readAll: async () => succeed({entries: [], version: 1}),
					async readChanges() {
						const answer = answers.shift();
						if (!answer) {
							follower.stop();
							resolve();
						}

						return answer ?? fail({kind: 'unavailable'});
					},
				},
				periods,
				clock: {now: () => 5, epochNow: () => 5},
				logger: winston.createLogger({silent: true}),
				onSnapshot: ({version}) => told.push(`whole ${version}`),
				onChanges: ({version}) => told.push(`changes ${version}`),
				onUnchanged: ({version}) => told.push(`unchanged ${version}`),
			});
			follower.start(reject);
		});
		t.same(told, ['whole 1', 'changes 2', 'unchanged 3']);
	},
);

tap.t.test('times that differ for now are asked for anew', async (t) => {
	const waits: number[] = [];
	await new Promise<void>((resolve, reject) => {
		const follower = createFeedFollower<string>({
			name: 'f',
			feed: {
				readAll: async () => succeed({entries: [], version: 1}),
				async readChanges(version, waitMs) {
					waits.push(waitMs);
					if (waits.length === 2) {
						follower.stop();
						resolve();
					}

					return succeed({entries: [], version});
				},
			},
			periods,
			getOverrides: () => (waits.length === 0 ? {} : {waitMs: 7}),
			clock: {now: () => 5, epochNow: () => 5},
			logger: winston.createLogger({silent: true}),
			onSnapshot: () => undefined,
			onChanges: () => undefined,
		});
		follower.start(reject);
	});
	t.same(waits, [periods.waitMs, 7]);
});
