/** Validation of a submitted job beyond its schema. */
import {fail, succeed, type Result} from '../../types/result.js';
import type {JobSpec, StepSpec} from './types.js';

/** Limits of one job, so that an owner plans it within a few milliseconds. */
export const jobLimits = {
	maxPayloadBytes: 4000,
	maxSteps: 64,
	maxTasksPerStep: 5000,
	maxTasks: 10_000,
	maxOccurrences: 100_000,
} as const;

/** A validation error, as reported to the caller. */
export type JobFault = {readonly field: string; readonly problem: string};

const idPattern = /^[\da-f]{16}$/v;

/** Whether a string is a job id: 16 lower-case hexadecimal digits. */
export const isJobId = (id: string): boolean => idPattern.test(id);

const checkStep = (step: StepSpec, number: number): JobFault | undefined => {
	const field = `steps.${number}`;
	if (step.count < 1 || step.count > jobLimits.maxTasksPerStep) {
		const problem = `must be from 1 to ${jobLimits.maxTasksPerStep}`;
		return {field: `${field}.count`, problem};
	}

	// Steps may only depend on earlier ones, which rules out cycles.
	const invalid = step.after.find((each) => each < 0 || each >= number);
	return invalid === undefined
		? undefined
		: {field: `${field}.after`, problem: `${invalid} is not an earlier step`};
};

const countTasks = (spec: JobSpec): number =>
	spec.steps.reduce((sum, {count}) => sum + count, 0);

const checkTotals = (spec: JobSpec): JobFault | undefined => {
	if (spec.steps.length === 0 || spec.steps.length > jobLimits.maxSteps) {
		const problem = `must hold 1 to ${jobLimits.maxSteps} steps`;
		return {field: 'steps', problem};
	}

	if (
		new TextEncoder().encode(spec.payload).length > jobLimits.maxPayloadBytes
	) {
		const problem = `must be at most ${jobLimits.maxPayloadBytes} bytes`;
		return {field: 'spec', problem};
	}

	if (countTasks(spec) > jobLimits.maxTasks) {
		const problem = `must hold at most ${jobLimits.maxTasks} tasks`;
		return {field: 'steps', problem};
	}

	const times = spec.schedule?.times ?? 0;
	return times > jobLimits.maxOccurrences
		? {field: 'times', problem: `must be at most ${jobLimits.maxOccurrences}`}
		: undefined;
};

/** Returns the job if it is valid, else the first invalid field. */
export const checkJob = (spec: JobSpec): Result<JobSpec, JobFault> => {
	const fault =
		checkTotals(spec) ??
		spec.steps
			.map((step, number) => checkStep(step, number))
			.find((each) => each !== undefined);
	return fault ? fail(fault) : succeed(spec);
};
