/** Lists the fields in which two JSON objects differ. */
import type {JsonValue} from '@gullstand/ports';

/** One field that differs; undefined where the field is absent. */
export type FieldDiff = {
	/** Such as `services.quoting.maxAway`. */
	readonly path: string;
	readonly before: JsonValue | undefined;
	readonly after: JsonValue | undefined;
};

type Fields = ReadonlyMap<string, JsonValue>;

const isObject = (
	value: JsonValue,
): value is Readonly<Record<string, JsonValue>> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

/** Names terms by their service and other elements by their index. */
const getElementName = (element: JsonValue, index: number): string =>
	isObject(element) && typeof element.service === 'string'
		? element.service
		: String(index);

const listChildren = (value: JsonValue): Array<[string, JsonValue]> => {
	if (Array.isArray(value)) {
		return value.map((element: JsonValue, index) => [
			getElementName(element, index),
			element,
		]);
	}

	return isObject(value) ? Object.entries(value) : [];
};

const flatten = (
	value: JsonValue,
	path: string,
): Array<[string, JsonValue]> => {
	const children = listChildren(value);
	return children.length === 0
		? [[path, value]]
		: children.flatMap(([name, child]) =>
				flatten(child, path === '' ? name : `${path}.${name}`),
			);
};

const getFields = (value: JsonValue | undefined): Fields =>
	new Map(value === undefined ? [] : flatten(value, ''));

/** Lists the fields that differ, sorted by path. */
export const diffFields = (
	before: JsonValue | undefined,
	after: JsonValue | undefined,
): readonly FieldDiff[] => {
	const [old, next] = [getFields(before), getFields(after)];
	const paths = [...new Set([...old.keys(), ...next.keys()])].toSorted();
	return paths
		.map((path) => ({path, before: old.get(path), after: next.get(path)}))
		.filter(
			(each) => JSON.stringify(each.before) !== JSON.stringify(each.after),
		);
};
