/** Schema of an operator's request for a wave. */
import {budget, waves} from '@gullstand/core';
import {z} from 'zod';

const maxPools = 500;
const maxHours = 24 * 7 * 10;
const hourMs = 3_600_000;
const minuteMs = 60_000;

/** Predefined weights by name. */
export const namedWeights = {
	balanced: waves.waveDefaults.weights,
	'few-moves': waves.fewMovesWeights,
	'little-buffer': waves.littleBufferWeights,
	fast: waves.fastWeights,
} as const;

const weight = z.number().min(0).max(1000);

const weightsSchema = z.union([
	z.enum(
		Object.keys(namedWeights) as [
			keyof typeof namedWeights,
			...Array<keyof typeof namedWeights>,
		],
	),
	z.strictObject({
		moves: weight,
		bufferCoreHours: weight,
		rollOutHours: weight,
	}),
]);

const count = z.number().int().min(1).max(100_000);

/** Validates a request for a wave; the names contain the units. */
export const waveRequestSchema = z.strictObject({
	pools: z.array(z.string().min(1).max(63)).min(1).max(maxPools),
	hours: z.number().positive().max(maxHours),
	weights: weightsSchema.optional(),
	reserve: z.enum(budget.reserveKinds).optional(),
	domains: z.enum(waves.domainRules).optional(),
	order: z.enum(waves.waveOrders).optional(),
	maxInstances: count.optional(),
	maxDomains: count.optional(),
	cycleMinutes: z.number().positive().max(1440).optional(),
	returnWithinMinutes: z.number().positive().max(1440).optional(),
	deferWithinHours: z.number().min(0).max(maxHours).optional(),
});

/** A validated request for a wave. */
export type WaveRequest = z.infer<typeof waveRequestSchema>;

const getWeights = ({weights}: WaveRequest): waves.WaveWeights =>
	typeof weights === 'string'
		? namedWeights[weights]
		: (weights ?? waves.waveDefaults.weights);

/** Creates the settings of the wave, with defaults for omitted values. */
export const createSettings = (request: WaveRequest): waves.WaveSettings => {
	const defaults = waves.waveDefaults;
	const {cycleMinutes, returnWithinMinutes, deferWithinHours} = request;
	return {
		...defaults,
		weights: getWeights(request),
		reserve: request.reserve ?? defaults.reserve,
		domains: request.domains ?? defaults.domains,
		order: request.order ?? defaults.order,
		maxInstances: request.maxInstances ?? defaults.maxInstances,
		maxDomains: request.maxDomains ?? defaults.maxDomains,
		cycleMs: (cycleMinutes ?? defaults.cycleMs / minuteMs) * minuteMs,
		returnWithinMs:
			(returnWithinMinutes ?? defaults.returnWithinMs / minuteMs) * minuteMs,
		deferWithinMs:
			(deferWithinHours ?? defaults.deferWithinMs / hourMs) * hourMs,
	};
};

/** Returns the time until the wave's deadline, in milliseconds. */
export const getDurationMs = ({hours}: WaveRequest): number => hours * hourMs;
