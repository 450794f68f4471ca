/** Checks of a submitted job that go beyond the form of its fields. */
import {fail, succeed, type Result} from '../types/result.js';
import type {JobSpec, StepSpec} from './types.js';

/** Bounds of one job; origin: what one owner plans within a few milliseconds. */
export const jobLimits = {
	maxPayloadBytes: 4000,
	maxSteps: 64,
	maxTasksPerStep: 5000,
	maxTasks: 10_000,
	maxOccurrences: 100_000,
} as const;

/** What is wrong with a job, as the caller is told. */
export type JobFault = {readonly field: string; readonly problem: string};

const idPattern = /^[\da-f]{16}$/v;

/** Whether a text is a job id: 16 hexadecimal digits. */
export const isJobId = (id: string): boolean => idPattern.test(id);

const checkStep = (step: StepSpec, number: number): JobFault | undefined => {
	const field = `steps.${number}`;
	if (step.count < 1 || step.count > jobLimits.maxTasksPerStep) {
		const problem = `must be from 1 to ${jobLimits.maxTasksPerStep}`;
		return {field: `${field}.count`, problem};
	}

	// Only earlier steps may be named, so no cycle can be written.
	const wrong = step.after.find((each) => each < 0 || each >= number);
	return wrong === undefined
		? undefined
		: {field: `${field}.after`, problem: `${wrong} is not an earlier step`};
};

const countTasks = (spec: JobSpec): number =>
	spec.steps.reduce((sum, {count}) => sum + count, 0);

const checkWhole = (spec: JobSpec): JobFault | undefined => {
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

/** Accepts a job or names the first field at fault. */
export const checkJob = (spec: JobSpec): Result<JobSpec, JobFault> => {
	const fault =
		checkWhole(spec) ??
		spec.steps
			.map((step, number) => checkStep(step, number))
			.find((each) => each !== undefined);
	return fault ? fail(fault) : succeed(spec);
};
