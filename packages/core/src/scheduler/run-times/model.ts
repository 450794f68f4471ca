/**
 * Run times that the owner of a service has seen, by shape of step. While a
 * model is not in force, the declared time is used.
 */
import type {Step} from '../state/task.js';
import type {StepSpec} from '../state/types.js';
import {
	addMean,
	createExactEstimate,
	type Prediction,
	type RunTimeEstimate,
} from './estimate.js';
import {
	addSample,
	emptyRegression,
	predict,
	type Regression,
	type RunTimeSample,
} from './regression.js';

/** What a model predicts: a single run, or the longest run of a step. */
export type ModelKind = 'run' | 'step';

/** Steps of one queue with the same image, whose tasks behave alike. */
export type Shape = {
	readonly queue: string;
	readonly image: string | undefined;
	readonly models: Record<ModelKind, Regression>;
	/** Cache: predictions by declared time, valid until the next sample. */
	readonly predictions: Readonly<Record<ModelKind, Map<number, Prediction>>>;
};

/** Models of an owner. */
export type RunTimes = {
	/** By key; the least recently sampled first. */
	readonly shapes: Map<string, Shape>;
	/** Number of shapes that have a model in force. */
	inForce: number;
	/** Number of samples that were added, to detect changes. */
	version: number;
};

/** A model that came into force or went out of it, for the log. */
export type ModelChange = {
	readonly queue: string;
	readonly image: string | undefined;
	readonly model: ModelKind;
	readonly isInForce: boolean;
	readonly samples: number;
	/** Root mean square of ln(true / declared). */
	readonly error: number;
};

/** Bound on the shapes, as names of images come from callers. */
export const maxShapes = 64;

/**
 * Bound on the cached predictions of a model: the steps of a thousand open jobs
 * all have other declared times.
 */
const maxPredictions = 4000;

/** Returns the models of an owner that has seen no run. */
export const createRunTimes = (): RunTimes => ({
	shapes: new Map(),
	inForce: 0,
	version: 0,
});

const getShapeKey = (queue: string, image: string | undefined): string =>
	image === undefined ? queue : `${queue}\0${image}`;

const countInForce = ({shapes}: RunTimes): number => {
	let count = 0;
	for (const {models} of shapes.values()) {
		count += models.run.isInForce || models.step.isInForce ? 1 : 0;
	}

	return count;
};

/** Adds a shape, as the most recently sampled one. */
export const setShape = (
	runTimes: RunTimes,
	{queue, image, models}: Pick<Shape, 'queue' | 'image' | 'models'>,
): Shape => {
	const {shapes} = runTimes;
	const key = getShapeKey(queue, image);
	const shape: Shape = {
		queue,
		image,
		models: {...models},
		predictions: {run: new Map(), step: new Map()},
	};
	shapes.delete(key);
	shapes.set(key, shape);
	for (const oldest of shapes.keys()) {
		if (shapes.size <= maxShapes) {
			break;
		}

		shapes.delete(oldest);
	}

	runTimes.inForce = countInForce(runTimes);
	return shape;
};

/** Makes the shape of a step the most recently sampled one. */
const touchShape = (runTimes: RunTimes, step: Step): Shape => {
	const {queue} = step.occurrence.job.accepted.policy;
	const {image} = step.spec;
	const key = getShapeKey(queue, image);
	const known = runTimes.shapes.get(key);
	if (!known) {
		const models = {run: emptyRegression, step: emptyRegression};
		return setShape(runTimes, {queue, image, models});
	}

	runTimes.shapes.delete(key);
	runTimes.shapes.set(key, known);
	return known;
};

/** Adds a sample; returns whether a model came into force or went out of it. */
export const recordSample = (
	runTimes: RunTimes,
	step: Step,
	model: ModelKind,
	sample: RunTimeSample,
): ModelChange | undefined => {
	const {queue, image, models, predictions} = touchShape(runTimes, step);
	const old = models[model];
	const next = addSample(old, sample);
	models[model] = next;
	predictions[model].clear();
	runTimes.version += 1;
	const {isInForce, samples, error} = next;
	if (isInForce === old.isInForce) {
		return undefined;
	}

	runTimes.inForce = countInForce(runTimes);
	return {queue, image, model, isInForce, samples, error: Math.sqrt(error)};
};

/**
 * Whether runs of a step are like those that are sampled: those of gangs, of
 * long-running tasks and of tasks in idle capacity are not.
 */
export const isSampledSpec = (spec: StepSpec): boolean =>
	!spec.isGang && !spec.isLongRunning && !spec.fillsIdleCapacity;

/** Predicts a time; `undefined` while no model of the shape is in force. */
export const predictIfInForce = (
	{inForce, shapes}: RunTimes,
	model: ModelKind,
	queue: string,
	spec: StepSpec,
): Prediction | undefined => {
	if (inForce === 0 || !isSampledSpec(spec)) {
		return undefined;
	}

	const shape = shapes.get(getShapeKey(queue, spec.image));
	if (!shape?.models[model].isInForce) {
		return undefined;
	}

	const cache = shape.predictions[model];
	const known = cache.get(spec.estimateMs);
	if (known) {
		return known;
	}

	if (cache.size >= maxPredictions) {
		cache.clear();
	}

	const prediction = addMean(predict(shape.models[model], spec.estimateMs));
	cache.set(spec.estimateMs, prediction);
	return prediction;
};

/** Predicts a time of a loaded step; `undefined` while no model is in force. */
export const predictStepTime = (
	runTimes: RunTimes,
	model: ModelKind,
	{occurrence, spec}: Step,
): Prediction | undefined =>
	predictIfInForce(runTimes, model, occurrence.job.accepted.policy.queue, spec);

/** Run time of one task: predicted if a model is in force, else declared. */
export const estimateRun = (runTimes: RunTimes, step: Step): RunTimeEstimate =>
	predictStepTime(runTimes, 'run', step) ??
	createExactEstimate(step.spec.estimateMs);
