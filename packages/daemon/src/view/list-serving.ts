/** Which executors of a pool a view lets serve. */
import type {Instance, View} from '@gullstand/core';

/** Executors of a pool that may get new work. */
export const listServing = (view: View, pool: string): Instance[] =>
	[...view.instances.values()].filter(
		(each) =>
			each.pool === pool &&
			each.kind === 'executor' &&
			each.state === 'serving',
	);
