/**
 * How a customer's declared sizes relate to what its jobs use: a line through
 * the logarithms, fitted by least squares as jobs end. A declaration that is
 * off by a factor pulls the estimate by less than that factor (regression to
 * the mean), which a plain ratio does not.
 * Source: docs/design/placement.md.
 */

/** Sums of the fit, of logarithms; weights fade so that habits may change. */
export type DeclarationModel = {
	readonly weight: number;
	readonly x: number;
	readonly y: number;
	readonly xx: number;
	readonly xy: number;
	readonly yy: number;
};

/** A line of declared to used, with the variance that it leaves. */
export type DeclarationFit = {
	readonly intercept: number;
	readonly slope: number;
	readonly variance: number;
};

/** Weight that is left of earlier jobs when one more has ended. */
const fade = 0.99;

/** Jobs that count before anything was seen, on the line used = declared. */
const priorWeight = 4;

/** Variance of the logarithm, of sizes wrong by up to four times. */
const priorVariance = Math.log(4) ** 2 / 3;

const smallest = 1e-3;

/** Nothing was seen yet. */
export const emptyDeclarationModel: DeclarationModel = {
	weight: 0,
	x: 0,
	y: 0,
	xx: 0,
	xy: 0,
	yy: 0,
};

/** Adds what one job declared and used; both above 0. */
export const addDeclaration = (
	model: DeclarationModel,
	declared: number,
	used: number,
): DeclarationModel => {
	const x = Math.log(Math.max(smallest, declared));
	const y = Math.log(Math.max(smallest, used));
	return {
		weight: model.weight * fade + 1,
		x: model.x * fade + x,
		y: model.y * fade + y,
		xx: model.xx * fade + x * x,
		xy: model.xy * fade + x * y,
		yy: model.yy * fade + y * y,
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
	const left = varianceY - 2 * slope * covariance + slope ** 2 * varianceX;
	const variance = (Math.max(0, left) + prior) / (model.weight + priorWeight);
	// Until enough was seen, the line passes nearer the origin.
	const trust = model.weight / (model.weight + priorWeight);
	return {intercept: trust * (meanY - slope * meanX), slope, variance};
};

/** Expected use and its deviation, for a declared size. */
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
