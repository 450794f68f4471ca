/** The executor of the bench; its log of what ran is the judge's evidence. */
import {Buffer} from 'node:buffer';
import type * as core from '@gullstand/core';
import {type EntryProcess, type StepContext, passStep} from './steps.js';

type RunResult = core.idempotency.RunResult;

/** How the executor meets a request. */
export const executorKinds = [
	'answers',
	'answers-large',
	/** Refuses as its settings declare. */
	'refuses',
	/** No connection: no byte is sent. */
	'unreachable',
	/** Runs, and the connection is reset before the answer. */
	'runs-then-resets',
	/** The connection is reset before it runs. */
	'resets',
	/** Runs after the entry has given up. */
	'runs-late',
] as const;

/** Kind of executor. */
export type ExecutorKind = (typeof executorKinds)[number];

/** One run of a request. */
export type Run = {
	readonly key: string;
	/** The sending whose dispatch ran. */
	readonly sending: number;
	readonly at: number;
	readonly answer: string;
};

/** What a dispatch is for. */
export type Job = {
	readonly key: string;
	readonly sending: number;
	readonly kind: ExecutorKind;
	/** The connection sends nothing from then on. */
	readonly dispatchBy: number;
};

const serviceMs = 40;
const refusalMs = 2;
const lateRunMs = 1500;
const largeAnswerLength = 5000;

const createAnswer = (job: Job, run: number): string => {
	const text = `${job.key} run ${run} `;
	return job.kind === 'answers-large'
		? text.padEnd(largeAnswerLength, '.')
		: text;
};

/** Meets one request; `log` gets a line whenever it really runs. */
export const dispatchJob = async (
	context: StepContext,
	life: EntryProcess,
	log: Run[],
	job: Job,
): Promise<RunResult> => {
	const {clock} = context;
	const {key, sending} = job;
	await passStep(context, life);
	if (clock.getNow() >= job.dispatchBy) {
		return {kind: 'refused', error: 'deadline-in-queue'};
	}

	const run = (): string => {
		const answer = createAnswer(job, log.length);
		log.push({key, sending, at: clock.getNow(), answer});
		return answer;
	};

	const end = async (
		delayMs: number,
		result: RunResult,
	): Promise<RunResult> => {
		await clock.wait(delayMs);
		await passStep(context, life);
		return result;
	};

	switch (job.kind) {
		case 'answers':
		case 'answers-large': {
			const body = Buffer.from(run());
			return end(serviceMs, {
				kind: 'answered',
				answer: {status: 201, headers: [], body},
			});
		}

		case 'refuses': {
			return end(refusalMs, {kind: 'refused', error: 'upstream-refused'});
		}

		case 'unreachable': {
			return end(refusalMs, {kind: 'refused', error: 'upstream-unreachable'});
		}

		case 'runs-then-resets': {
			run();
			return end(serviceMs, {kind: 'lost', error: 'upstream-reset'});
		}

		case 'resets': {
			return end(serviceMs, {kind: 'lost', error: 'upstream-reset'});
		}

		case 'runs-late': {
			clock.callAt(clock.getNow() + lateRunMs, run);
			return end(serviceMs, {kind: 'lost', error: 'upstream-timeout'});
		}
	}
};
