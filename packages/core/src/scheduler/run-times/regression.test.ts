/**
 * Guards against models that trust wrong declarations, that outliers distort,
 * that follow a change of behaviour too late, or that predict no usable time.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import {addSample, emptyRegression, predict} from './regression.js';

/** Plain numbers that look random: equally distributed in 0 to 1. */
const getShare = (index: number, factor: number): number =>
	((index + 0.5) * factor) % 1;

/** A normally distributed number of standard deviation 1. */
const getNormal = (index: number): number =>
	Math.sqrt(-2 * Math.log(getShare(index, 0.618_033_988_7))) *
	Math.cos(2 * Math.PI * getShare(index, 0.754_877_666_2));

type Replay = {
	/** Standard deviation of ln(declared / true). */
	readonly declaredError: number;
	readonly getTrueMs: (index: number) => number;
	readonly samples: number;
};

const getVariedMs = (index: number): number =>
	1000 * Math.exp(0.4 * getNormal(index + 5000));

const getDeclaredMs = ({declaredError, getTrueMs}: Replay, index: number) =>
	getTrueMs(index) * Math.exp(declaredError * getNormal(index));

const run = (replay: Replay) => {
	let regression = emptyRegression;
	for (let index = 0; index < replay.samples; index += 1) {
		regression = addSample(regression, {
			declaredMs: getDeclaredMs(replay, index),
			trueMs: replay.getTrueMs(index),
			driftWeight: 1,
		});
	}

	return regression;
};

const isOutlier = (index: number): boolean => index % 33 === 32;

const cases: ReadonlyArray<
	Replay & {
		readonly name: string;
		readonly isInForce: boolean;
		/** Typical estimate of a declaration of a second. */
		readonly typicalMs: readonly [low: number, high: number];
	}
> = [
	{
		name: 'declared times off by a factor of ten either way',
		declaredError: Math.log(10) / 1.2816,
		getTrueMs: getVariedMs,
		samples: 400,
		isInForce: true,
		typicalMs: [700, 1400],
	},
	{
		name: 'too few samples of wrong declarations',
		declaredError: 2,
		getTrueMs: getVariedMs,
		samples: 19,
		isInForce: false,
		typicalMs: [500, 2000],
	},
	{
		name: 'accurate declarations',
		declaredError: 0.1,
		getTrueMs: getVariedMs,
		samples: 1000,
		isInForce: false,
		typicalMs: [900, 1100],
	},
	{
		name: 'wrong declarations, and 3% of runs at seven times',
		declaredError: 1,
		getTrueMs: (index) => getVariedMs(index) * (isOutlier(index) ? 7 : 1),
		samples: 400,
		isInForce: true,
		typicalMs: [800, 1350],
	},
];

for (const {name, isInForce, typicalMs, ...replay} of cases) {
	tap.t.test(`a load with ${name}`, async (t) => {
		const regression = run(replay);
		t.comment(predict(regression, 1000), regression);
		t.equal(regression.isInForce, isInForce);
		const {typicalMs: found} = predict(regression, 1000);
		t.ok(found >= typicalMs[0] && found <= typicalMs[1], `${found} ms`);
	});
}

for (const declaredError of [0.1, 0.5, 1, 1.5]) {
	const name = `three times longer runs, declared with an error of ${declaredError}`;
	tap.t.test(`${name}, are followed within 40 samples`, async (t) => {
		const changeAt = 300;
		const replay = {declaredError, getTrueMs: getVariedMs, samples: changeAt};
		let regression = run(replay);
		for (let index = changeAt; index < changeAt + 40; index += 1) {
			const declaredMs = getDeclaredMs(replay, index);
			const trueMs = 3 * getVariedMs(index);
			regression = addSample(regression, {declaredMs, trueMs, driftWeight: 1});
		}

		t.ok(regression.isInForce);
		const {typicalMs} = predict(regression, 1000);
		t.ok(typicalMs > 2400 && typicalMs < 3750, `${typicalMs} ms`);
	});
}

tap.t.test('one outlying job does not move the model', async (t) => {
	let regression = run({
		declaredError: 1,
		getTrueMs: getVariedMs,
		samples: 300,
	});
	const before = predict(regression, 1000).typicalMs;
	for (let index = 0; index < 8; index += 1) {
		const sample = {declaredMs: 1000, trueMs: 7000, driftWeight: 1 / 8};
		regression = addSample(regression, sample);
	}

	const {typicalMs} = predict(regression, 1000);
	t.ok(typicalMs < 1.25 * before, `${before} ms, then ${typicalMs} ms`);
});

tap.t.test('estimates are finite, positive and ordered', async () => {
	const time = fc.double({noNaN: true});
	const sample = fc.record({
		declaredMs: time,
		trueMs: time,
		driftWeight: fc.double({min: 0, max: 1, noNaN: true}),
	});
	fc.assert(
		fc.property(fc.array(sample, {maxLength: 200}), time, (samples, at) => {
			let regression = emptyRegression;
			for (const each of samples) {
				regression = addSample(regression, each);
			}

			const {lowMs, typicalMs, highMs} = predict(regression, at);
			return (
				lowMs > 0 &&
				lowMs <= typicalMs &&
				typicalMs <= highMs &&
				Number.isFinite(highMs)
			);
		}),
	);
});
