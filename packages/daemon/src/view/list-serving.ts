/** Lists serving executors. */
import type {Instance, View} from '@gullstand/core';

/** Executors of a pool that may receive new requests. */
export const listServing = (view: View, pool: string): Instance[] =>
	[...view.instances.values()].filter(
		(each) =>
			each.pool === pool &&
			each.kind === 'executor' &&
			each.state === 'serving',
	);
