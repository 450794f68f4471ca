/** The executor of the bench; the checker reads its log of runs. */
import {Buffer} from 'node:buffer';
import type * as core from '@gullstand/core';
import {type EntryProcess, type StepContext, passStep} from './steps.js';

type RunResult = core.idempotency.RunResult;

/** Behaviours of the executor. */
export const executorKinds = [
	'answers',
	'answers-large',
	/** Sends a refusal that its service declares. */
	'refuses',
	/** No connection; no byte is sent. */
	'unreachable',
	/** Runs, and the connection is reset before the answer. */
	'runs-then-resets',
	/** The connection is reset before it runs. */
	'resets',
	/** Runs after the entry has given up. */
	'runs-late',
] as const;

export type ExecutorKind = (typeof executorKinds)[number];

/** Log entry of one run of a request. */
export type Run = {
	readonly key: string;
	/** The sending whose dispatch started the run. */
	readonly sending: number;
	readonly at: number;
	readonly answer: string;
};

/** One dispatch of a request. */
export type Job = {
	readonly key: string;
	readonly sending: number;
	readonly kind: ExecutorKind;
	/** Time from which the connection sends nothing. */
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

/** Dispatches one request; every run is appended to `log`. */
export const dispatchJob = async (
	context: StepContext,
	entryProcess: EntryProcess,
	log: Run[],
	job: Job,
): Promise<RunResult> => {
	const {clock} = context;
	const {key, sending} = job;
	await passStep(context, entryProcess);
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
		await passStep(context, entryProcess);
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
