/**
 * HTTP API of jobs under `/v1/jobs`. Jobs are submitted and cancelled through
 * any entry; only the owner of the queue's service returns the list and the
 * explanation.
 */
import {randomUUID} from 'node:crypto';
import {errors, scheduler, type Result} from '@gullstand/core';
import type {QueueRoute} from '@gullstand/ports';
import type {Context} from 'hono';
import * as z from 'zod';
import {createErrorResponse} from '../../caller/answer.js';
import type {JobResult} from '../../jobs/entry/job-result.js';
import type {JobDaemon} from '../../jobs/job-daemon.js';
import type {OperatorApp, OperatorEnv} from '../types.js';

/** Dependencies of the handlers. */
export type JobsDeps = {
	readonly jobs: Pick<JobDaemon, 'service' | 'routes' | 'listJobs' | 'explain'>;
	readonly now: () => number;
};

/** Deadline of a submission or a cancellation, in milliseconds. */
const changeTimeoutMs = 3000;

const count = z.int().min(1);

const amount = z.int().min(0).default(0);

const stepSchema = z.strictObject({
	count: count.default(1),
	cpuMillis: z.int().min(0),
	memoryMb: z.int().min(0),
	accelerators: amount,
	estimateMs: z.number().min(0).default(0),
	after: z.array(z.int().min(0)).default([]),
	canCheckpoint: z.boolean().default(false),
	isGang: z.boolean().default(false),
	needsSameRack: z.boolean().default(false),
	requiredLabel: z.string().optional(),
	preferredRack: z.string().optional(),
	maxPerExecutor: count.optional(),
	allowsCopies: z.boolean().default(false),
	isLongRunning: z.boolean().default(false),
	image: z.string().optional(),
	targetTailMs: z.number().min(0).optional(),
	fillsIdleCapacity: z.boolean().default(false),
	mayMiss: z.int().min(0).optional(),
});

const jobSchema = z.strictObject({
	payload: z.string().default(''),
	steps: z.array(stepSchema).min(1),
	schedule: z
		.strictObject({
			times: count,
			startAtEpochMs: z.number().min(0),
			intervalMs: z.number().min(0),
		})
		.optional(),
});

const toStep = ({
	cpuMillis,
	memoryMb,
	accelerators,
	...step
}: z.infer<typeof stepSchema>): scheduler.StepSpec => ({
	...step,
	resources: {cpuMillis, memoryMb, accelerators},
	requiredLabel: step.requiredLabel,
	preferredRack: step.preferredRack,
	maxPerExecutor: step.maxPerExecutor,
	image: step.image,
	targetTailMs: step.targetTailMs,
	mayMiss: step.mayMiss,
});

type JobContext = Context<OperatorEnv>;

/** Creates an error response; `problem` replaces the message of the table. */
const refuse = (
	kind: errors.ErrorKind,
	problem?: string,
	retryAfterMs?: number,
): Response => {
	const res = createErrorResponse(kind, randomUUID(), retryAfterMs);
	if (problem === undefined) {
		return res;
	}

	const {outcome, retry, status} = errors.getErrorAnswer(kind);
	const body = {error: kind, message: problem, outcome, retry};
	return Response.json(body, {status, headers: res.headers});
};

const answer = <Value>(
	result: JobResult<Value>,
	toBody: (value: Value) => unknown,
): Response =>
	result.ok
		? Response.json(toBody(result.value))
		: refuse(result.error, undefined, result.retryAfterMs);

const readSpec = async (
	c: JobContext,
): Promise<Result<scheduler.JobSpec, string>> => {
	let body: unknown;
	try {
		body = await c.req.json();
	} catch {
		return {ok: false, error: 'the body is no JSON'};
	}

	const parsed = jobSchema.safeParse(body);
	if (!parsed.success) {
		return {ok: false, error: z.prettifyError(parsed.error)};
	}

	const {payload, steps, schedule} = parsed.data;
	const checked = scheduler.checkJob({
		payload,
		steps: steps.map((step) => toStep(step)),
		schedule,
	});
	return checked.ok
		? checked
		: {ok: false, error: `${checked.error.field} ${checked.error.problem}`};
};

/** Registers the handlers of this domain. */
export const registerJobs = (app: OperatorApp, {jobs, now}: JobsDeps): void => {
	const {service, routes} = jobs;

	const withRoute = async (
		c: JobContext,
		action: (route: QueueRoute, id: string) => Promise<Response>,
	): Promise<Response> => {
		const route = routes.getByName(c.req.param('queue') ?? '');
		const id = c.req.param('id') ?? '';
		if (!route) {
			return refuse('unknown-queue');
		}

		return scheduler.isJobId(id)
			? action(route, id)
			: refuse('bad-request', 'an id is 16 hexadecimal digits');
	};

	app.get('/v1/jobs', (c) => c.json({jobs: jobs.listJobs()}));
	app.put('/v1/jobs/:queue/:id', async (c) =>
		withRoute(c, async (route, id) => {
			const spec = await readSpec(c);
			if (!spec.ok) {
				return refuse('bad-request', spec.error);
			}

			const deadline = now() + changeTimeoutMs;
			const job = {id, spec: spec.value};
			const result = await service.submit(route, job, deadline);
			return answer(result, ({isRepeat}) => ({job: id, isRepeat}));
		}),
	);
	app.get('/v1/jobs/:queue/:id', async (c) =>
		withRoute(c, async (route, id) =>
			answer(await service.readState(route, id), (state) => ({
				job: id,
				queue: route.name,
				state,
			})),
		),
	);
	app.delete('/v1/jobs/:queue/:id', async (c) =>
		withRoute(c, async (route, id) => {
			const deadline = now() + changeTimeoutMs;
			const result = await service.cancel(route, id, deadline);
			return answer(result, () => ({job: id, state: 'cancelled'}));
		}),
	);
	app.get('/v1/jobs/:queue/:id/explanation', async (c) =>
		withRoute(c, async (route, id) => {
			const tasks = jobs.explain(route, id);
			return tasks ? c.json({job: id, tasks}) : refuse('unknown-job');
		}),
	);
};
