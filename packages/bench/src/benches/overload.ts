/** `bench overload`: admission under load above capacity. */
import {check} from '../frame/check.js';
import type {Bench, BenchOptions, Figures} from '../frame/types.js';
import {runCancelWave} from './overload/cancel-wave.js';
import {measureDecisions} from './overload/decision-cost.js';
import * as policies from './overload/policies.js';
import type {Tally} from './overload/run-entry.js';
import * as scenarios from './overload/scenarios.js';
import {measureSockets} from './overload/sockets.js';
import {customerWeights, firms} from './overload/sizes.js';

/** Worst values over all services of both firms. */
type Summary = {
	goodput: number;
	slowestNotRunMs: number;
	notRunShare: number;
	droppedInQueue: number;
	lateAnswers: number;
	extraLatePoints: number;
	greedyGoodput: number;
	slowGoodput: number;
	slowLateWork: number;
};

const getGoodput = (tally: Tally): number => tally.onTimeWorkMs / tally.slotMs;

const getSum = (tally: Tally, key: 'sent' | 'late' | 'notRun'): number =>
	tally.customers.reduce((sum, each) => sum + each[key], 0);

/** Percentage of requests not answered in time, including refused ones. */
const getLatePoints = (tally: Tally, customer: number): number => {
	const {sent, onTime} = tally.customers[customer]!;
	return (100 * (sent - onTime)) / sent;
};

const addOverload = (summary: Summary, tally: Tally): void => {
	summary.goodput = Math.min(summary.goodput, getGoodput(tally));
	summary.slowestNotRunMs = Math.max(
		summary.slowestNotRunMs,
		tally.slowestNotRunMs,
	);
	const notRunShare = getSum(tally, 'notRun') / getSum(tally, 'sent');
	summary.notRunShare = Math.max(summary.notRunShare, notRunShare);
	summary.droppedInQueue += tally.dropped;
	summary.lateAnswers += getSum(tally, 'late');
};

const addGreedy = (
	summary: Summary,
	setup: scenarios.Setup,
	tally: Tally,
): void => {
	summary.greedyGoodput = Math.min(summary.greedyGoodput, getGoodput(tally));
	summary.droppedInQueue += tally.dropped;
	summary.slowestNotRunMs = Math.max(
		summary.slowestNotRunMs,
		tally.slowestNotRunMs,
	);
	for (const customer of customerWeights.keys()) {
		if (customer !== scenarios.greedyCustomer) {
			const alone = scenarios.runAlone(setup, customer);
			const points =
				getLatePoints(tally, customer) - getLatePoints(alone, customer);
			summary.extraLatePoints = Math.max(summary.extraLatePoints, points);
		}
	}
};

const addSlow = (summary: Summary, tally: Tally): void => {
	const lateWork = tally.lateWorkMs / tally.slotMs;
	summary.slowGoodput = Math.min(summary.slowGoodput, getGoodput(tally));
	summary.slowLateWork = Math.max(summary.slowLateWork, lateWork);
};

const summarize = (
	name: string,
	makePolicy: policies.PolicyFactory,
	options: BenchOptions,
): Summary => {
	const summary: Summary = {
		goodput: 1,
		slowestNotRunMs: 0,
		notRunShare: 0,
		droppedInQueue: 0,
		lateAnswers: 0,
		extraLatePoints: -100,
		greedyGoodput: 1,
		slowGoodput: 1,
		slowLateWork: 0,
	};
	const lengthMs = options.short ? 20_000 : 120_000;
	for (const firm of firms) {
		for (const size of firm.services) {
			const {seed} = options;
			const setup = {firm, size, makePolicy, seed, lengthMs};
			const overload = scenarios.runOverload(setup);
			addOverload(summary, overload);
			const greedy = scenarios.runGreedy(setup);
			addGreedy(summary, setup, greedy);
			addSlow(summary, scenarios.runSlow(setup));
			const goodput = getGoodput(overload).toFixed(4);
			options.log(`${name} ${firm.name} ${size.name}: goodput ${goodput}`);
		}
	}

	return summary;
};

const toFigures = (summary: Summary): Figures => ({
	worstGoodputAt2xCapacity: summary.goodput,
	slowestNotRunAnswerMs: summary.slowestNotRunMs,
	highestNotRunShareAt2xCapacity: summary.notRunShare,
	droppedInQueue: summary.droppedInQueue,
	lateAnswersAt2xCapacity: summary.lateAnswers,
	worstExtraLatePercentagePoints: summary.extraLatePoints,
	worstGoodputBesideGreedy: summary.greedyGoodput,
	worstGoodputWhileSlowed: summary.slowGoodput,
	mostSlotTimeOnLateAnswersWhileSlowed: summary.slowLateWork,
});

export const bench: Bench = {
	name: 'overload',
	summary: 'admission, fair queue and cancellation above capacity',
	async run(options) {
		const own = summarize('admission', policies.createAdmissionPolicy, options);
		const fifo = summarize('fifo', policies.createFifoPolicy, options);
		const drop = summarize('fifo-drop', policies.createFifoDropPolicy, options);
		const wave = runCancelWave(options.seed);
		const held = wave.slotsHeld + wave.queuePlacesHeld + wave.wheelPlacesHeld;
		return {
			figures: {
				...toFigures(own),
				...wave,
				...measureDecisions(),
				...(await measureSockets(options.short ? 5 : 20)),
			},
			baselines: {
				'fifo without deadlines': toFigures(fifo),
				'fifo with deadline drop': toFigures(drop),
			},
			checks: [
				check('goodput at 2x capacity, of capacity', own.goodput, '>=', 0.95),
				check('slowest not-run answer, ms', own.slowestNotRunMs, '<=', 10),
				check(
					'late answers inside contract against alone, percentage points',
					own.extraLatePoints,
					'<=',
					1,
				),
				check('places held after 5,000 cancellations', held, '==', 0),
				check(
					'cancelled requests dispatched',
					wave.dispatchedAfterCancel,
					'==',
					0,
				),
				check(
					'slots given at once after the wave',
					wave.dispatchedAtOnce,
					'==',
					7,
				),
			],
		};
	},
};
