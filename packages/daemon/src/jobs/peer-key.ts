/** The key that authenticates messages between daemons, shared in the store. */
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
	// The check lets only the first daemon store its key.
	await store.transact(
		{
			checks: [{...rowKey, version: 0}],
			puts: [{...rowKey, value}],
			removes: [],
		},
		periods.storeTimeoutMs,
	);
};

/** Reads or creates the key, retrying while the store fails; undefined if stopped. */
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
