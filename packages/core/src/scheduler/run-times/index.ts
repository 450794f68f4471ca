/** Estimates of how long the tasks of a service really run. */
export {createExactEstimate, type RunTimeEstimate} from './estimate.js';
export {
	createRunTimes,
	estimateRun,
	maxShapes,
	recordSample,
	setShape,
	type ModelChange,
	type ModelKind,
	type RunTimes,
	type Shape,
} from './model.js';
export * from './critical-path.js';
export * from './remaining.js';
export type {MeasuredRun, PredictionOutcome} from './samples.js';
export * from './work.js';
export {
	encodeRunTimes,
	maxRunTimesBytes,
	restoreRunTimes,
	storedRegressionLength,
	type StoredRunTimes,
	type StoredShape,
} from './stored.js';
