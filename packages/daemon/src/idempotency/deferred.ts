/** A promise that is resolved from outside. */
export type Deferred<Value> = {
	readonly promise: Promise<Value>;
	readonly resolve: (value: Value) => void;
};

/** Creates an unresolved promise. */
export const createDeferred = <Value>(): Deferred<Value> => {
	const resolvers: Array<(value: Value) => void> = [];
	const promise = new Promise<Value>((resolve) => {
		resolvers.push(resolve);
	});
	return {
		promise,
		resolve(value) {
			for (const resolver of resolvers) {
				resolver(value);
			}
		},
	};
};
