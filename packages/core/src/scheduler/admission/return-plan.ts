/**
 * Gives each rejected job a place in the capacity that is expected, and so the
 * time at which its caller should return. The places are spread out, so that
 * callers do not all return at once, and whoever was rejected first returns
 * first.
 */

/** Capacity in which rejected jobs get places; times are monotonic. */
export type ExpectedCapacity = {
	/** Places of one lane follow one another. */
	readonly lane: string;
	/** When there is room for the first job. */
	readonly fromAt: number;
	/** Time in which there is room for another job, in milliseconds. */
	readonly spacingMs: number;
};

/** A rejected job. */
export type RejectedJob = {
	readonly id: string;
	readonly team: string | undefined;
	/** Weight of its team. */
	readonly weight: number;
	/** Lower values go first. */
	readonly priority: number;
	readonly expected: ExpectedCapacity;
};

type Place = {
	readonly team: string | undefined;
	readonly lane: string;
	readonly priority: number;
	readonly firstRejectedAt: number;
	/** Places that its team had, in relation to its weight. */
	readonly teamOrder: number;
	readonly placeAt: number;
	isTaken: boolean;
};

/** Places by job id, and the number of returns by period. */
export type ReturnPlan = {
	readonly places: Map<string, Place>;
	readonly returns: Map<number, number>;
};

/** Bounds of a time to return, in milliseconds. */
export const returnBounds = {minMs: 200, maxMs: 5000} as const;

/** Rejected jobs remembered at most, and for how long in milliseconds. */
export const rejectedJobLimits = {count: 1000, ageMs: 30_000} as const;

/** Period in which the number of returns is bounded, in milliseconds. */
export const returnPeriodMs = 100;

/**
 * Returns in a period while other periods have fewer: some 80 a second are a
 * fifth of what an entry of a third of a core takes in.
 */
export const maxReturnsPerPeriod = 8;

/** Rejections within this time count as simultaneous, in milliseconds. */
const simultaneousMs = 50;

/**
 * How long a place is kept for its caller, in milliseconds: callers that only
 * read the field in whole seconds return up to a second later.
 */
const placeGraceMs = 1500;

/** How much too soon a caller may return, in milliseconds. */
const earlyMs = 20;

/** Multiples modulo 1, at which the returns of a period lie, are evenly spread. */
const goldenRatio = (Math.sqrt(5) - 1) / 2;

export const createReturnPlan = (): ReturnPlan => ({
	places: new Map(),
	returns: new Map(),
});

const isOpen = ({isTaken, placeAt}: Place, now: number): boolean =>
	!isTaken && now <= placeAt + placeGraceMs;

/** Whether a job returns within the time of its place, which is still there. */
export const isInPlace = (
	{places}: ReturnPlan,
	id: string,
	now: number,
): boolean => {
	const place = places.get(id);
	return (
		place !== undefined &&
		now >= place.placeAt - earlyMs &&
		now <= place.placeAt + placeGraceMs
	);
};

/** Records that a job was accepted, so that its place is free for no other. */
export const takePlace = ({places}: ReturnPlan, id: string): void => {
	const place = places.get(id);
	if (place) {
		place.isTaken = true;
	}
};

/** Counts the places of a lane that are due, and whose callers may yet come. */
export const countDuePlaces = (
	{places}: ReturnPlan,
	lane: string,
	now: number,
): number => {
	let count = 0;
	for (const place of places.values()) {
		count +=
			place.lane === lane && place.placeAt <= now && isOpen(place, now) ? 1 : 0;
	}

	return count;
};

const forgetOld = ({places, returns}: ReturnPlan, now: number): void => {
	for (const [id, {firstRejectedAt}] of places) {
		const isOld = now - firstRejectedAt > rejectedJobLimits.ageMs;
		if (isOld || places.size >= rejectedJobLimits.count) {
			places.delete(id);
		}
	}

	const current = Math.floor(now / returnPeriodMs);
	for (const period of returns.keys()) {
		if (period < current) {
			returns.delete(period);
		}
	}
};

type Order = Pick<Place, 'firstRejectedAt' | 'priority' | 'teamOrder'>;

/** Whether a job that has a place goes before another one. */
const goesBefore = (one: Order, two: Order): boolean => {
	const order =
		Math.floor(one.firstRejectedAt / simultaneousMs) -
			Math.floor(two.firstRejectedAt / simultaneousMs) ||
		one.priority - two.priority ||
		one.teamOrder - two.teamOrder;
	return order <= 0;
};

/** Returns the place of a job behind those that go before it. */
const createPlace = (
	{places}: ReturnPlan,
	{team, weight, priority, expected}: RejectedJob,
	firstRejectedAt: number,
	now: number,
): Place => {
	const open = [...places.values()].filter(
		(each) =>
			each.lane === expected.lane && each.placeAt > now && isOpen(each, now),
	);
	const teamPlaces = open.filter((each) => each.team === team).length;
	const order: Order = {
		firstRejectedAt,
		priority,
		teamOrder: teamPlaces / Math.max(weight, Number.EPSILON),
	};
	const before = open
		.filter((each) => goesBefore(each, order))
		.map((each) => each.placeAt + expected.spacingMs);
	return {
		team,
		lane: expected.lane,
		...order,
		placeAt: Math.max(expected.fromAt, ...before),
		isTaken: false,
	};
};

/**
 * Returns the first period from `wanted` on with room, else the last one before
 * it, else the one with the fewest returns.
 */
const findPeriod = (
	{returns}: ReturnPlan,
	{first, wanted, last}: Readonly<Record<'first' | 'wanted' | 'last', number>>,
): number => {
	const count = (period: number): number => returns.get(period) ?? 0;
	const later = Array.from(
		{length: last - wanted + 1},
		(_, index) => wanted + index,
	);
	const sooner = Array.from(
		{length: Math.max(0, wanted - first)},
		(_, index) => wanted - 1 - index,
	);
	const periods = [...later, ...sooner];
	const withRoom = periods.find(
		(period) => count(period) < maxReturnsPerPeriod,
	);
	return (
		withRoom ??
		periods.toSorted((one, two) => count(one) - count(two))[0] ??
		wanted
	);
};

/** Reserves a time to return at `earliestAt` or later, within the bounds. */
const reserveReturn = (
	plan: ReturnPlan,
	earliestAt: number,
	now: number,
): number => {
	const soonestAt = now + returnBounds.minMs;
	const latestAt = now + returnBounds.maxMs;
	const firstAt = Math.min(Math.max(earliestAt, soonestAt), latestAt);
	const wanted = Math.floor(firstAt / returnPeriodMs);
	const period = findPeriod(plan, {
		first: Math.ceil(soonestAt / returnPeriodMs),
		wanted,
		last: Math.floor(latestAt / returnPeriodMs),
	});
	const count = plan.returns.get(period) ?? 0;
	plan.returns.set(period, count + 1);
	const returnAt = (period + ((count * goldenRatio) % 1)) * returnPeriodMs;
	return Math.min(
		latestAt,
		Math.max(period < wanted ? soonestAt : firstAt, returnAt),
	);
};

/**
 * Gives a rejected job its place and returns the time after which its caller
 * should return, in whole milliseconds. A job that returns too soon keeps its
 * place; one that missed its place gets another one by its first rejection.
 */
export const reservePlace = (
	plan: ReturnPlan,
	rejected: RejectedJob,
	now: number,
): number => {
	const known = plan.places.get(rejected.id);
	const isKnown =
		known !== undefined &&
		now - known.firstRejectedAt <= rejectedJobLimits.ageMs;
	plan.places.delete(rejected.id);
	forgetOld(plan, now);
	const place =
		isKnown && isOpen(known, now) && known.lane === rejected.expected.lane
			? known
			: createPlace(plan, rejected, isKnown ? known.firstRejectedAt : now, now);
	const returnAt = reserveReturn(plan, place.placeAt, now);
	plan.places.set(rejected.id, {
		...place,
		// A place beyond the longest time stays where it is.
		placeAt: Math.max(place.placeAt, returnAt),
	});
	return Math.ceil(returnAt - now);
};
