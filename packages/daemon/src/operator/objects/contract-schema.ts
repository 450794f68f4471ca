/** Schema of a contract in the operators' API. */
import {z} from 'zod';
import type {Contract} from '@gullstand/core';

const name = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v);

const count = z.int().min(0).max(1_000_000);

/** Validates a contract; unknown keys are refused. */
export const contractSchema = z.strictObject({
	customer: name,
	weight: z.number().positive().max(1000),
	tokenHashes: z.array(z.string().regex(/^[\da-f]{64}$/v)).max(16),
	services: z
		.array(
			z.strictObject({
				service: name,
				keepExecutors: count,
				maxAway: count,
				answerWithinMs: z.int().min(1).max(3_600_000),
				requestsPerSecond: z.number().min(0).max(1_000_000),
			}),
		)
		.max(200),
	jobs: z.strictObject({
		cores: z.number().min(0),
		memoryMb: z.number().min(0),
		accelerators: count,
		urgentStartMs: z.int().min(1),
	}),
}) satisfies z.ZodType<Contract>;
