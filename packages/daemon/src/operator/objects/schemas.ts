/** Schemas of services and instances in the operators' API. */
import {isIP} from 'node:net';
import {z} from 'zod';
import * as core from '@gullstand/core';
import type {Instance, Service} from '@gullstand/core';

const name = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v);

const status = z.int().min(400).max(599);

/** Validates a service; unknown keys are refused. */
export const serviceSchema = z.strictObject({
	name,
	pool: name,
	slotsPerExecutor: z.int().min(1).max(10_000),
	connectionsPerExecutor: z.int().min(1).max(100_000),
	idempotent: z.boolean(),
	nonRepeatableRoutes: z.array(z.string().startsWith('/').max(200)).max(100),
	refusal: z.strictObject({
		statuses: z.array(status).max(20),
		header: z
			.string()
			.regex(/^[a-z\d\-]{1,100}$/v)
			.exactOptional(),
	}),
}) satisfies z.ZodType<Service>;

const isAddress = (text: string): boolean => {
	const parts = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/v.exec(text);
	const host = parts?.[1] ?? parts?.[2] ?? '';
	return isIP(host) !== 0 && Number(parts?.[3]) <= 65_535;
};

/** Validates an instance; its state and epoch are optional. */
export const instanceSchema = z.strictObject({
	id: name,
	kind: z.enum(['worker', 'executor']),
	address: z.string().refine(isAddress, {
		error: 'an IP number and a port are needed, such as 10.0.0.1:8080',
	}),
	pool: name,
	region: name,
	availabilityZone: name,
	rack: name,
	state: z.enum(core.instanceStates).default('serving'),
	epoch: z.int().min(1).default(1),
}) satisfies z.ZodType<Instance>;
