/**
 * Guards against models that trust wrong declarations, that outliers distort,
 * that follow a change of behaviour too late, or that predict no usable time.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	addSample,
	emptyRegression,
	predict,
	type Regression,
} from './regression.js';

/** Plain numbers that look random: equally distributed in 0 to 1. */
const getShare = (index: number, factor: number): number =>
	((index + 0.5) * factor) % 1;

/** A normally distributed number of standard deviation 1. */
const getNormal = (index: number): number =>
	Math.sqrt(-2 * Math.log(getShare(index, 0.618_033_988_7))) *
	Math.cos(2 * Math.PI * getShare(index, 0.754_877_666_2));

type Replay = readonly [
	/** Standard deviation of ln(declared / true). */
	declaredError: number,
	getTrueMs: (index: number) => number,
	samples: number,
];

const getVariedMs = (index: number): number =>
	1000 * Math.exp(0.4 * getNormal(index + 5000));

/** Adds samples whose runs take `factor` times as long as was known. */
const addReplay = (
	regression: Regression,
	[declaredError, getTrueMs, samples]: Replay,
	factor = 1,
): Regression => {
	let next = regression;
	for (let count = 0; count < samples; count += 1) {
		const index = count + regression.samples;
		const trueMs = getTrueMs(index);
		const declaredMs = trueMs * Math.exp(declaredError * getNormal(index));
		const sample = {declaredMs, trueMs: factor * trueMs, driftWeight: 1};
		next = addSample(next, sample);
	}

	return next;
};

const run = (replay: Replay): Regression => addReplay(emptyRegression, replay);

const getOutlierMs = (index: number): number =>
	getVariedMs(index) * (index % 33 === 32 ? 7 : 1);

/** With the range of the typical estimate of a declaration of a second. */
const cases: ReadonlyArray<
	readonly [
		name: string,
		replay: Replay,
		isInForce: boolean,
		low: number,
		high: number,
	]
> = [
	[
		'declarations a tenth to ten times',
		[1.8, getVariedMs, 400],
		true,
		700,
		1400,
	],
	['too few wrong declarations', [2, getVariedMs, 19], false, 500, 2000],
	['accurate declarations', [0.1, getVariedMs, 1000], false, 900, 1100],
	['3% of runs at seven times', [1, getOutlierMs, 400], true, 800, 1350],
];

for (const [name, replay, isInForce, low, high] of cases) {
	tap.t.test(`a load with ${name}`, async (t) => {
		const regression = run(replay);
		t.equal(regression.isInForce, isInForce);
		const {typicalMs} = predict(regression, 1000);
		t.ok(typicalMs >= low && typicalMs <= high, `${typicalMs} ms`);
	});
}

for (const declaredError of [0.1, 0.5, 1, 1.5]) {
	const name = `three times longer runs, declared with an error of ${declaredError}`;
	tap.t.test(`${name}, are followed within 40 samples`, async (t) => {
		const before = run([declaredError, getVariedMs, 300]);
		const regression = addReplay(before, [declaredError, getVariedMs, 40], 3);
		t.ok(regression.isInForce);
		const {typicalMs} = predict(regression, 1000);
		t.ok(typicalMs > 2400 && typicalMs < 3750, `${typicalMs} ms`);
	});
}

tap.t.test('one outlying job does not move the model', async (t) => {
	let regression = run([1, getVariedMs, 300]);
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
	const driftWeight = fc.double({min: 0, max: 1, noNaN: true});
	const sample = fc.record({declaredMs: time, trueMs: time, driftWeight});
	fc.assert(
		fc.property(fc.array(sample, {maxLength: 200}), time, (samples, at) => {
			let regression = emptyRegression;
			for (const each of samples) {
				regression = addSample(regression, each);
			}

			const {lowMs, typicalMs, highMs} = predict(regression, at);
			const isOrdered = lowMs <= typicalMs && typicalMs <= highMs;
			return lowMs > 0 && isOrdered && Number.isFinite(highMs);
		}),
	);
});
