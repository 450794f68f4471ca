/** In-memory transactional row store for tests of conditional writes. */
import type {StoreWrite} from './store-write.js';

type Row = {readonly value: unknown; readonly version: number};

type ReadRow<Value> = {readonly value: Value; readonly version: number};

/** Creates an empty store. */
export const createStore = () => {
	const rows = new Map<string, Row>();
	let lastVersion = 0;
	const getKey = (table: string, key: string) => `${table}/${key}`;
	const read = <Value>(table: string, key: string) =>
		rows.get(getKey(table, key)) as ReadRow<Value> | undefined;
	const isPreconditionMet = ({table, key, when}: StoreWrite<unknown>) => {
		const version = read(table, key)?.version;
		return (
			when.kind === 'any' ||
			(when.kind === 'absent'
				? version === undefined
				: version === when.version)
		);
	};

	const commit = (writes: ReadonlyArray<StoreWrite<unknown>>): boolean => {
		if (!writes.every((each) => isPreconditionMet(each))) {
			return false;
		}

		for (const write of writes) {
			if (write.kind === 'put') {
				lastVersion += 1;
				const row = {value: write.value, version: lastVersion};
				rows.set(getKey(write.table, write.key), row);
			} else if (write.kind === 'delete') {
				rows.delete(getKey(write.table, write.key));
			}
		}

		return true;
	};

	const list = <Value>(table: string) =>
		[...rows]
			.filter(([key]) => key.startsWith(`${table}/`))
			.map(([, row]) => row as ReadRow<Value>);
	return {read, commit, list};
};
