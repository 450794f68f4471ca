/**
 * Feeds one entry's arrivals to a policy on a simulated clock and counts the
 * answers of the callers.
 */
import type {Arrival} from './arrivals.js';

/** Period of expiring queued requests that can no longer be in time. */
const expireEveryMs = 4;

/** An admission policy; a request is its index in the arrivals. */
export type Policy = {
	readonly offer: (
		index: number,
		now: number,
	) => 'dispatch' | 'queued' | 'refused';
	readonly next: (
		now: number,
	) =>
		{readonly kind: 'dispatch' | 'dropped'; readonly index: number} | undefined;
	readonly expire: (now: number) => readonly number[];
	readonly finish: (index: number, now: number) => void;
};

/** Counts of one customer. */
export type Count = {
	sent: number;
	onTime: number;
	late: number;
	notRun: number;
};

/** Results of one entry. */
export type Tally = {
	readonly customers: Count[];
	/** Slot time of answers on time, within the length of the run. */
	onTimeWorkMs: number;
	slotMs: number;
	/** Slot time of late answers. */
	lateWorkMs: number;
	dropped: number;
	/** Longest time from sending until a `not-run` answer. */
	slowestNotRunMs: number;
};

/** Input of one entry's run. */
export type EntryRun = {
	readonly arrivals: readonly Arrival[];
	readonly slots: number;
	readonly lengthMs: number;
	readonly answerWithinMs: number;
	readonly oneWayMs: number;
};

export const createTally = (customers: number): Tally => ({
	customers: Array.from({length: customers}, () => ({
		sent: 0,
		onTime: 0,
		late: 0,
		notRun: 0,
	})),
	onTimeWorkMs: 0,
	slotMs: 0,
	lateWorkMs: 0,
	dropped: 0,
	slowestNotRunMs: 0,
});

const countNotRun = (
	run: EntryRun,
	tally: Tally,
	index: number,
	now: number,
): void => {
	const {at, customer} = run.arrivals[index]!;
	tally.customers[customer]!.notRun++;
	const answeredMs = now - at + 2 * run.oneWayMs;
	tally.slowestNotRunMs = Math.max(tally.slowestNotRunMs, answeredMs);
};

type InFlight = {
	readonly index: number;
	readonly startedAt: number;
	readonly endsAt: number;
};

const countAnswer = (
	run: EntryRun,
	tally: Tally,
	{index, startedAt, endsAt}: InFlight,
): void => {
	const {at, customer} = run.arrivals[index]!;
	const count = tally.customers[customer]!;
	const tookMs = endsAt - at + 2 * run.oneWayMs;
	const workMs = Math.max(0, Math.min(endsAt, run.lengthMs) - startedAt);
	if (tookMs <= run.answerWithinMs) {
		count.onTime++;
		tally.onTimeWorkMs += workMs;
	} else {
		count.late++;
		tally.lateWorkMs += workMs;
	}
};

const findFirstToEnd = (
	inFlight: readonly InFlight[],
): InFlight | undefined => {
	let first = inFlight[0];
	for (const each of inFlight) {
		if (first && each.endsAt < first.endsAt) {
			first = each;
		}
	}

	return first;
};

/** Runs an entry until its last request is answered. */
export const runEntry = (run: EntryRun, policy: Policy, tally: Tally): void => {
	const {arrivals} = run;
	const inFlight: InFlight[] = [];
	let waiting = 0;
	let arrived = 0;
	let expireAt = expireEveryMs;
	tally.slotMs += run.slots * run.lengthMs;

	const start = (index: number, now: number) => {
		const endsAt = now + arrivals[index]!.serviceMs;
		inFlight.push({index, startedAt: now, endsAt});
	};

	const fillSlots = (now: number) => {
		for (;;) {
			const decision = policy.next(now);
			if (!decision) {
				return;
			}

			waiting--;
			if (decision.kind === 'dispatch') {
				start(decision.index, now);
			} else {
				tally.dropped++;
				countNotRun(run, tally, decision.index, now);
			}
		}
	};

	const receive = (now: number) => {
		const index = arrived++;
		tally.customers[arrivals[index]!.customer]!.sent++;
		const decision = policy.offer(index, now);
		if (decision === 'dispatch') {
			start(index, now);
		} else if (decision === 'refused') {
			countNotRun(run, tally, index, now);
		} else {
			waiting++;
			fillSlots(now);
		}
	};

	const expire = (now: number) => {
		for (const index of policy.expire(now)) {
			waiting--;
			tally.dropped++;
			countNotRun(run, tally, index, now);
		}

		expireAt = now + expireEveryMs;
	};

	const end = (ended: InFlight) => {
		inFlight.splice(inFlight.indexOf(ended), 1);
		policy.finish(ended.index, ended.endsAt);
		countAnswer(run, tally, ended);
		fillSlots(ended.endsAt);
	};

	for (;;) {
		if (arrived === arrivals.length && inFlight.length === 0 && waiting === 0) {
			return;
		}

		const arrivalAt = arrivals[arrived]?.at ?? Number.POSITIVE_INFINITY;
		const first = findFirstToEnd(inFlight);
		const endsAt = first?.endsAt ?? Number.POSITIVE_INFINITY;
		const dueAt = waiting > 0 ? expireAt : Number.POSITIVE_INFINITY;
		if (dueAt <= arrivalAt && dueAt <= endsAt) {
			expire(dueAt);
		} else if (first && endsAt <= arrivalAt) {
			end(first);
		} else {
			receive(arrivalAt);
			expireAt = Math.max(expireAt, arrivalAt);
		}
	}
};
