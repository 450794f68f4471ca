/** The key that seals messages between daemons: made once, kept in the store. */
import {randomBytes} from 'node:crypto';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import {delay} from './clock.js';
import {periods} from './periods.js';
import {
	decodeRow,
	peerKeySchema,
	sharedPart,
	singleKeys,
	tables,
} from './rows/tables.js';

const keyBytes = 32;

const rowKey = {
	table: tables.secret,
	part: sharedPart,
	key: singleKeys.peerKey,
} as const;

const readKey = async (store: RowStore): Promise<string | undefined> => {
	const page = await store.read(rowKey, periods.storeTimeoutMs);
	const row = page.ok
		? page.value.rows.find(({key}) => key === rowKey.key)
		: undefined;
	const decoded = row && decodeRow(peerKeySchema, row.value);
	return decoded?.ok ? decoded.value.keyHex : undefined;
};

const createKey = async (store: RowStore): Promise<void> => {
	const value = JSON.stringify({
		keyHex: randomBytes(keyBytes).toString('hex'),
	});
	// Whoever is first decides; the others read what lies there.
	await store.transact(
		{
			checks: [{...rowKey, version: 0}],
			puts: [{...rowKey, value}],
			removes: [],
		},
		periods.storeTimeoutMs,
	);
};

/** Reads the key, making it if there is none; waits while the store is away. */
export const obtainPeerKey = async (
	store: RowStore,
	logger: Pick<Logger, 'warn'>,
	isStopped: () => boolean,
): Promise<string | undefined> => {
	for (let tries = 0; !isStopped(); tries++) {
		const known = await readKey(store);
		if (known !== undefined) {
			return known;
		}

		await createKey(store);
		if (tries > 0) {
			logger.warn('peer key not read yet', {tries});
			await delay(periods.flushRetryMs);
		}
	}

	return undefined;
};
