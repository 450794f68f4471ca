/** Rules on machines and their waves: LIMIT, MIXED and ONE. */
import {ruleBounds} from '@gullstand/users-platform/stand-ins';
import {isKind, type Break, type EventOf, type History} from './history.js';

/** Upkeeps that begin while too many machines of their wave are away. */
export const findCrowdedWaves = (history: History): readonly Break[] => {
	const caps = new Map(
		history.events
			.filter(isKind('wave'))
			.map(({wave, cap}) => [String(wave), cap] as const),
	);
	const away = new Map<string, Set<string>>();
	const breaks: Break[] = [];
	for (const event of history.events) {
		if (event.kind === 'upkeep begins') {
			const others = away.get(event.wave) ?? new Set();
			away.set(event.wave, others);
			if (others.size >= (caps.get(event.wave) ?? 0)) {
				breaks.push({
					rule: 'LIMIT',
					text: `upkeep of ${event.machine} begins at ${event.atMs} ms beside ${others.size} others of wave ${event.wave}`,
				});
			}

			others.add(event.machine);
		} else if (event.kind === 'upkeep ends') {
			away.get(event.wave)?.delete(event.machine);
		}
	}

	return breaks;
};

/** Waves said to be completed before all their upkeeps have begun. */
export const findEarlyCompletions = (history: History): readonly Break[] =>
	history.events
		.filter(isKind('wave'))
		.filter(({state}) => state === 'completed')
		.flatMap(({wave, machines, atMs}) => {
			const begun = new Set(
				history.events
					.filter(isKind('upkeep begins'))
					.filter((each) => each.wave === String(wave) && each.atMs <= atMs)
					.map(({machine}) => machine),
			);
			const gone = new Set(
				history.events
					.filter(isKind('machine gone'))
					.filter((each) => each.atMs <= atMs)
					.map(({machine}) => machine),
			);
			const missing = machines.filter(
				(each) => !begun.has(each) && !gone.has(each),
			);
			return missing.length > 0
				? [
						{
							rule: 'MIXED',
							text: `wave ${wave} is completed at ${atMs} ms without ${missing.join(', ')}`,
						},
					]
				: [];
		});

/** Orders of two holders with one token, or in turns within a lease in calm. */
export const findContestedOrders = (history: History): readonly Break[] => {
	const last = new Map<string, EventOf<'machine ordered'>>();
	const holders = new Map<string, string>();
	return history.events.filter(isKind('machine ordered')).flatMap((order) => {
		const {machine, holder, token, atMs} = order;
		const earlier = last.get(machine);
		const key = `${machine} ${token}`;
		const first = holders.get(key) ?? holder;
		last.set(machine, order);
		holders.set(key, first);
		const isTurn =
			earlier !== undefined &&
			earlier.holder !== holder &&
			atMs - earlier.atMs < ruleBounds.leaseMs &&
			history.isCalm(earlier.atMs - ruleBounds.contactMs, atMs);
		return first !== holder || isTurn
			? [
					{
						rule: 'ONE',
						text: `${machine} is ordered by ${holder} with ${token} at ${atMs} ms after ${earlier?.holder} with ${earlier?.token} at ${earlier?.atMs} ms`,
					},
				]
			: [];
	});
};
