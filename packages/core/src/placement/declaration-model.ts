/**
 * Models how the declared sizes of a customer relate to actual usage: a line
 * through the logarithms, fitted by least squares as jobs end. Regression to
 * the mean makes the estimate follow an outlying declaration only in part,
 * unlike a plain ratio.
 * Source: docs/design/placement.md.
 */

/**
 * Weighted sums of the fit; x is the logarithm of a declared size, y of the
 * used size. Weights decay so that the model follows changes.
 */
export type DeclarationModel = {
	readonly weight: number;
	readonly x: number;
	readonly y: number;
	readonly xx: number;
	readonly xy: number;
	readonly yy: number;
};

/** Line from declared to used size, with the residual variance. */
export type DeclarationFit = {
	readonly intercept: number;
	readonly slope: number;
	readonly variance: number;
};

/** Factor by which the weight of earlier jobs decays with each ended job. */
const decay = 0.99;

/** Weight, in jobs, of the prior on the line used = declared. */
const priorWeight = 4;

/**
 * Prior variance of the logarithm: declarations uniformly wrong by a factor of
 * up to four.
 */
const priorVariance = Math.log(4) ** 2 / 3;

const minSize = 1e-3;

/** Model without observations. */
export const emptyDeclarationModel: DeclarationModel = {
	weight: 0,
	x: 0,
	y: 0,
	xx: 0,
	xy: 0,
	yy: 0,
};

/**
 * Adds the declared size and the usage of one job; values near 0 are clamped.
 */
export const addDeclaration = (
	model: DeclarationModel,
	declared: number,
	used: number,
): DeclarationModel => {
	const x = Math.log(Math.max(minSize, declared));
	const y = Math.log(Math.max(minSize, used));
	return {
		weight: model.weight * decay + 1,
		x: model.x * decay + x,
		y: model.y * decay + y,
		xx: model.xx * decay + x * x,
		xy: model.xy * decay + x * y,
		yy: model.yy * decay + y * y,
	};
};

/** Fits the line; with few jobs it stays near used = declared. */
export const fitDeclarations = (model: DeclarationModel): DeclarationFit => {
	if (model.weight === 0) {
		return {intercept: 0, slope: 1, variance: priorVariance};
	}

	const meanX = model.x / model.weight;
	const meanY = model.y / model.weight;
	const varianceX = model.xx - model.weight * meanX * meanX;
	const covariance = model.xy - model.weight * meanX * meanY;
	const varianceY = model.yy - model.weight * meanY * meanY;
	const prior = priorWeight * priorVariance;
	const slope = (covariance + prior) / (varianceX + prior);
	const residual = varianceY - 2 * slope * covariance + slope ** 2 * varianceX;
	const variance =
		(Math.max(0, residual) + prior) / (model.weight + priorWeight);
	// With few jobs the prior pulls the line towards the origin.
	const dataWeight = model.weight / (model.weight + priorWeight);
	return {intercept: dataWeight * (meanY - slope * meanX), slope, variance};
};

/** Expected usage and its deviation for a declared size. */
export const predictUsage = (
	fit: DeclarationFit,
	declared: number,
): {mean: number; deviation: number} => {
	if (declared <= 0) {
		return {mean: 0, deviation: 0};
	}

	const median = Math.exp(fit.intercept + fit.slope * Math.log(declared));
	const mean = median * Math.exp(fit.variance / 2);
	return {mean, deviation: mean * Math.sqrt(Math.exp(fit.variance) - 1)};
};
