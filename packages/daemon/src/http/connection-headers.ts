/** Headers that belong to one connection and are not passed on. */

/** Header fields by name in lower case. */
export type HeaderFields = Readonly<
	Record<string, string | string[] | undefined>
>;

// RFC 9110, 7.6.1, and the lengths that are set anew on each connection.
const connectionHeaders = new Set([
	'connection',
	'expect',
	'host',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

const listNamed = (headers: HeaderFields): Set<string> => {
	const {connection = ''} = headers;
	const names = String(connection).toLowerCase().split(',');
	return new Set(names.map((name) => name.trim()));
};

/** Drops the headers of one connection, also those that `connection` names. */
export const removeConnectionHeaders = (
	headers: HeaderFields,
): Record<string, string | string[]> => {
	const named = listNamed(headers);
	const passed: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		const own = connectionHeaders.has(name) || named.has(name);
		if (value !== undefined && !own) {
			passed[name] = value;
		}
	}

	return passed;
};
