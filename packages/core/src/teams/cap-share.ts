/**
 * Shares of a team's cap, one for each service, in one row that owners change
 * by conditional writes. An owner lets the team run only what its share covers,
 * so the sum over all owners keeps the cap although each knows only its own
 * runs. Source: docs/design/teams.md.
 */
import type {Resources} from '../scheduler/state/types.js';
import {
	addResources,
	isAnyPositive,
	mapResources,
	minResources,
	noResources,
	resourceNames,
	type ResourceName,
} from './resources.js';

/** The part of a cap that one service holds, and what it lacks. */
export type CapShare = {
	/** Fencing token of the owner that wrote it. */
	readonly token: number;
	readonly share: Resources;
	/** What its waiting tasks need beyond the share. */
	readonly lacking: Resources;
	/** The largest task that waits for it. */
	readonly largest: Resources;
	/** Version of the row since which it waits; orders those that wait. */
	readonly lackingSince: number;
	/**
	 * What it used when its share became enough for its largest task. It keeps
	 * its turn until it uses more.
	 */
	readonly usedWhenGranted?: Resources | undefined;
};

/** Shares of one team's cap by service shard. */
export type CapShares = Readonly<Record<string, CapShare>>;

/** What a service needs of a team's cap. */
export type CapNeed = {
	/** What certainly runs, or may run. */
	readonly used: Resources;
	/** Demand of the tasks that are ready and wait. */
	readonly waiting: Resources;
	/** The largest of those tasks, in each resource. */
	readonly largest: Resources;
};

/** A service and its owner. */
export type ShareOwner = {readonly shard: string; readonly token: number};

/** Whether a cap limits any resource; 0 stands for no limit. */
export const isCapped = (cap: Resources): boolean =>
	resourceNames.some((name) => cap[name] > 0);

/** Whether a demand is within a cap. */
export const isWithinCap = (demand: Resources, cap: Resources): boolean =>
	resourceNames.every((name) => cap[name] === 0 || demand[name] <= cap[name]);

const sumShares = (shares: readonly CapShare[]): Resources => {
	let sum = noResources;
	for (const {share} of shares) {
		sum = addResources(sum, share);
	}

	return sum;
};

/** The row of a team. */
export type CapRow = {
	readonly shares: CapShares;
	/** The cap under which it was written last. */
	readonly cap: Resources;
	readonly version: number;
};

/** The row of a team that has none yet. */
export const emptyCapRow: CapRow = {shares: {}, cap: noResources, version: 0};

/**
 * Whether the shares exceed the cap, as they do after the cap was lowered:
 * nothing of the team may start then, in any service.
 */
export const isOverCap = (
	{shares}: Pick<CapRow, 'shares'>,
	cap: Resources,
): boolean => !isWithinCap(sumShares(Object.values(shares)), cap);

/**
 * Whether the row was written under this cap or a lower one. Until then the
 * shares that others took under a higher cap may not have been seen.
 */
export const isCapAdopted = (
	{cap: rowCap}: Pick<CapRow, 'cap'>,
	cap: Resources,
): boolean =>
	resourceNames.every(
		(name) =>
			cap[name] === 0 || (rowCap[name] !== 0 && rowCap[name] <= cap[name]),
	);

/** A team's cap and the share of it that a service may use now. */
export type CapLimit = {
	readonly cap: Resources;
	readonly share: Resources;
	/** Whether the shares of all services exceed the cap, or may do so. */
	readonly isOverCap: boolean;
};

/**
 * Whether a task may start beside what runs. A task that is wider than the cap,
 * which was lowered after its job was accepted, may run alone once the service
 * holds the whole cap.
 */
export const mayStartWithin = (
	{cap, share, isOverCap: isOver}: CapLimit,
	used: Resources,
	demand: Resources,
): boolean => {
	if (isOver) {
		return false;
	}

	const fits = (name: ResourceName): boolean =>
		cap[name] === 0 || used[name] + demand[name] <= share[name];
	const isAlone = !isAnyPositive(used) && isWithinCap(share, cap);
	const holdsAll = (name: ResourceName): boolean =>
		cap[name] === 0 || share[name] >= cap[name];
	return resourceNames.every(
		(name) =>
			fits(name) || (isAlone && demand[name] > cap[name] && holdsAll(name)),
	);
};

/** The part of a demand that the cap leaves room for, from 0 to 1. */
export const getPartWithinCap = (
	cap: Resources,
	{used, waiting}: CapNeed,
): number =>
	Math.min(
		1,
		...resourceNames
			.filter((name) => cap[name] > 0 && waiting[name] > 0)
			.map((name) => Math.max(0, cap[name] - used[name]) / waiting[name]),
	);

/** Factor on what a service needs when it takes a share, so that it takes few. */
const growthFactor = 2;

/** Part of the cap that a service takes at least, if nobody else lacks it. */
const leastPart = 0.125;

/** Whether a service waits for a part of the cap, or has just got it. */
const isQueued = ({lacking, usedWhenGranted}: CapShare): boolean =>
	isAnyPositive(lacking) || usedWhenGranted !== undefined;

/** Lists the other services that wait for a part, the first one to be served. */
const listQueued = (
	shares: CapShares,
	shard: string,
): ReadonlyArray<readonly [string, CapShare]> =>
	Object.entries(shares)
		.filter(([other, share]) => other !== shard && isQueued(share))
		.toSorted(
			([one, first], [two, second]) =>
				first.lackingSince - second.lackingSince || (one < two ? -1 : 1),
		);

/**
 * The part of the cap that a service may use while others lack theirs; the
 * whole cap if none does. `isNeeding` tells whether it needs a part itself.
 */
const getFairPart = (
	shares: CapShares,
	cap: Resources,
	shard: string,
	isNeeding: boolean,
): Resources => {
	const lacking = listQueued(shares, shard);
	const [first] = lacking;
	if (!first) {
		return cap;
	}

	const own = shares[shard];
	const isFirst =
		own !== undefined &&
		isQueued(own) &&
		own.lackingSince < first[1].lackingSince;
	const parts = lacking.length + (isNeeding ? 1 : 0);
	const kept = sumKeptShares(shares, shard);
	return mapResources((name) => {
		const room = Math.max(0, cap[name] - kept[name]);
		const evenPart = Math.floor(room / parts);
		// Whoever lacks longest gets room for its largest task as a whole.
		if (isFirst) {
			return Math.max(evenPart, own.largest[name]);
		}

		const firstPart = Math.min(
			first[1].share[name] + first[1].lacking[name],
			Math.max(evenPart, first[1].largest[name]),
		);
		const rest = Math.max(0, room - firstPart);
		return Math.floor(rest / Math.max(1, parts - 1));
	});
};

/** The share that a service should have, if the others leave it. */
const getTarget = (
	shares: CapShares,
	cap: Resources,
	shard: string,
	{used, waiting}: CapNeed,
): Resources => {
	const needed = minResources(addResources(used, waiting), cap);
	if (listQueued(shares, shard).length > 0) {
		const part = getFairPart(shares, cap, shard, isAnyPositive(needed));
		return minResources(needed, part);
	}

	return mapResources((name) =>
		needed[name] === 0
			? 0
			: Math.min(
					cap[name],
					Math.max(
						needed[name] * growthFactor,
						Math.floor(cap[name] * leastPart),
					),
				),
	);
};

/**
 * What a service may use of the share that it holds. It starts nothing beyond
 * its part while others lack theirs: what ends would be replaced otherwise, and
 * the share would never become free.
 */
export const getUsableShare = (
	{shares}: CapRow,
	cap: Resources,
	{shard}: ShareOwner,
	held: Resources,
): Resources => minResources(held, getFairPart(shares, cap, shard, true));

/** Sums the shares of the other services that lack nothing. */
const sumKeptShares = (shares: CapShares, shard: string): Resources =>
	sumShares(
		Object.entries(shares)
			.filter(([other, share]) => other !== shard && !isQueued(share))
			.map(([, share]) => share),
	);

/**
 * Plans the next share of a service; undefined if a later owner holds it. The
 * share never falls below what runs, so the row may exceed the cap once it was
 * lowered.
 */
export const planShare = (
	row: CapRow,
	cap: Resources,
	self: ShareOwner,
	need: CapNeed,
): CapShare | undefined => {
	const {shares, version} = row;
	const own = shares[self.shard];
	if (own && own.token > self.token) {
		return undefined;
	}

	const held = own?.share ?? noResources;
	const others = sumShares(
		Object.entries(shares)
			.filter(([shard]) => shard !== self.shard)
			.map(([, each]) => each),
	);
	const target = isOverCap(row, cap)
		? need.used
		: getTarget(shares, cap, self.shard, need);
	const needed = minResources(addResources(need.used, need.waiting), cap);
	const areOthersLacking = listQueued(shares, self.shard).length > 0;
	const share = mapResources((name) => {
		if (cap[name] === 0) {
			return 0;
		}

		const free = Math.max(0, cap[name] - others[name]);
		// A share that nobody else lacks is kept, as it may be needed again.
		const least = areOthersLacking || isOverCap(row, cap) ? 0 : held[name];
		const wanted = Math.max(target[name], least);
		return Math.max(need.used[name], Math.min(wanted, free));
	});
	const lacking = mapResources((name) =>
		cap[name] === 0 ? 0 : Math.max(0, needed[name] - share[name]),
	);
	return {
		token: self.token,
		share,
		lacking,
		...planTurn(own, {share, lacking}, need, {cap, version}),
	};
};

/**
 * Plans the turn of a service among those that wait: it keeps its place until
 * its largest task can start and something has started.
 */
const planTurn = (
	own: CapShare | undefined,
	{share, lacking}: Pick<CapShare, 'share' | 'lacking'>,
	{used, waiting, largest}: CapNeed,
	{cap, version}: {readonly cap: Resources; readonly version: number},
): Pick<CapShare, 'largest' | 'lackingSince' | 'usedWhenGranted'> => {
	const wasQueued = own !== undefined && isQueued(own);
	const canStart =
		isAnyPositive(waiting) &&
		resourceNames.every(
			(name) => cap[name] === 0 || used[name] + largest[name] <= share[name],
		);
	const usedWhenGranted =
		wasQueued && canStart ? (own.usedWhenGranted ?? used) : undefined;
	const isOver =
		own?.usedWhenGranted !== undefined &&
		(!canStart ||
			resourceNames.some((name) => used[name] > own.usedWhenGranted![name]));
	if (isOver || !(isAnyPositive(lacking) || usedWhenGranted)) {
		const isLackingAgain = isAnyPositive(lacking);
		return {
			largest: isLackingAgain ? minResources(largest, cap) : noResources,
			lackingSince: isLackingAgain ? version : 0,
		};
	}

	return {
		largest: minResources(largest, cap),
		lackingSince: wasQueued ? own.lackingSince : version,
		...(usedWhenGranted && {usedWhenGranted}),
	};
};

/**
 * Whether a share covers what its service needs and no service waits, so that
 * nothing has to be planned.
 */
export const isSettled = (
	row: CapRow,
	cap: Resources,
	{shard, token}: ShareOwner,
	{used, waiting}: CapNeed,
): boolean => {
	const own = row.shares[shard];
	return (
		own?.token === token &&
		resourceNames.every(
			(name) =>
				cap[name] === 0 || used[name] + waiting[name] <= own.share[name],
		) &&
		!Object.values(row.shares).some((share) => isQueued(share)) &&
		isCapAdopted(row, cap) &&
		!isOverCap(row, cap)
	);
};

/** Whether a service lacks part of its share. */
export const isLacking = ({lacking}: CapShare): boolean =>
	isAnyPositive(lacking);

/** Whether a planned share has to replace the one in the row. */
export const needsWrite = (
	row: CapRow,
	{shard}: ShareOwner,
	next: CapShare,
	{cap, used, waiting}: CapNeed & {readonly cap: Resources},
): boolean => {
	const own = row.shares[shard];
	const isNeeded = isAnyPositive(used) || isAnyPositive(waiting);
	if (!own || own.token < next.token || !isCapAdopted(row, cap)) {
		return isNeeded || (own !== undefined && isAnyPositive(own.share));
	}

	const needed = minResources(addResources(used, waiting), cap);
	const mustGrow = resourceNames.some(
		(name) =>
			cap[name] > 0 &&
			needed[name] > own.share[name] &&
			next.share[name] > own.share[name],
	);
	const mustShrink = resourceNames.some(
		(name) => next.share[name] < own.share[name],
	);
	const hasChangedLack =
		isQueued(own) !== isQueued(next) ||
		own.lackingSince !== next.lackingSince ||
		(own.usedWhenGranted === undefined) !==
			(next.usedWhenGranted === undefined) ||
		resourceNames.some((name) => next.largest[name] > own.largest[name]);
	return mustGrow || mustShrink || hasChangedLack;
};
