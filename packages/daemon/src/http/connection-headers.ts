/** Removes header fields that apply to a single connection only. */

/** Header fields by lower-case name. */
export type HeaderFields = Readonly<
	Record<string, string | string[] | undefined>
>;

// RFC 9110, section 7.6.1, and fields that each connection sets itself.
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

const getConnectionOptions = (headers: HeaderFields): Set<string> => {
	const {connection = ''} = headers;
	const names = String(connection).toLowerCase().split(',');
	return new Set(names.map((name) => name.trim()));
};

/** Removes connection-specific fields and those that `connection` names. */
export const removeConnectionHeaders = (
	headers: HeaderFields,
): Record<string, string | string[]> => {
	const connectionOptions = getConnectionOptions(headers);
	const forwarded: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		const isConnectionField =
			connectionHeaders.has(name) || connectionOptions.has(name);
		if (value !== undefined && !isConnectionField) {
			forwarded[name] = value;
		}
	}

	return forwarded;
};
