/**
 * Stored models of an owner, so that the next owner of the service need not
 * gather evidence anew. A lost update costs accuracy only.
 */
import {maxShapes, setShape, type RunTimes, type Shape} from './model.js';
import type {Regression} from './regression.js';

/**
 * A regression as numbers, in the order of `storedFields`; a flag is 1 or 0.
 * Later releases may append numbers.
 */
export type StoredRegression = readonly number[];

/** One shape as stored; the image is absent if the steps name none. */
export type StoredShape = {
	readonly queue: string;
	readonly image?: string | undefined;
	readonly run: StoredRegression;
	readonly step: StoredRegression;
};

/** Value of the row; the most recently sampled shapes first. */
export type StoredRunTimes = {
	readonly format: 1;
	readonly shapes: readonly StoredShape[];
};

/** Maximum size of the row's value in bytes. */
export const maxRunTimesBytes = 8000;

/** Significant digits of stored numbers. */
const precision = 5;

/** Fields of a stored regression, with the range that a restored one keeps to. */
const storedFields = [
	{name: 'samples', low: 0, high: 1_000_000},
	{name: 'weight', low: 0, high: 1000},
	{name: 'meanDeclared', low: 0, high: 20},
	{name: 'meanTrue', low: 0, high: 20},
	{name: 'variance', low: 0, high: 400},
	{name: 'covariance', low: -400, high: 400},
	{name: 'residual', low: 0, high: 400},
	{name: 'error', low: 0, high: 400},
	{name: 'drift', low: -2, high: 2},
] as const;

/** Number of values of a stored regression. */
export const storedRegressionLength = storedFields.length + 1;

const encodeRegression = (regression: Regression): StoredRegression => [
	...storedFields.map(({name, high}) =>
		Number(Math.min(high, regression[name]).toPrecision(precision)),
	),
	regression.isInForce ? 1 : 0,
];

const decodeRegression = (values: StoredRegression): Regression => {
	const fields = storedFields.map(({name, low, high}, index) => [
		name,
		Math.min(high, Math.max(low, values[index] ?? 0)),
	]);
	return {
		...(Object.fromEntries(fields) as Omit<Regression, 'isInForce'>),
		isInForce: values[storedFields.length] === 1,
	};
};

const encodeShape = ({queue, image, models}: Shape): StoredShape => ({
	queue,
	image,
	run: encodeRegression(models.run),
	step: encodeRegression(models.step),
});

const getBytes = (text: string): number =>
	new TextEncoder().encode(text).length;

/** Encodes the models; the least recently sampled shapes that do not fit are left out. */
export const encodeRunTimes = (runTimes: RunTimes): string => {
	const shapes: string[] = [];
	const format = (list: readonly string[]) =>
		`{"format":1,"shapes":[${list.join(',')}]}`;
	let bytes = getBytes(format([]));
	for (const shape of [...runTimes.shapes.values()].toReversed()) {
		const text = JSON.stringify(encodeShape(shape));
		const largerBytes = bytes + getBytes(text) + 1;
		if (largerBytes <= maxRunTimesBytes) {
			bytes = largerBytes;
			shapes.push(text);
		}
	}

	return format(shapes);
};

/** Restores stored models into those of an owner that has seen no run. */
export const restoreRunTimes = (
	runTimes: RunTimes,
	{shapes}: StoredRunTimes,
): void => {
	for (const {queue, image, run, step} of shapes
		.slice(0, maxShapes)
		.toReversed()) {
		const models = {run: decodeRegression(run), step: decodeRegression(step)};
		setShape(runTimes, {queue, image, models});
	}
};
