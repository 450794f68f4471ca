/**
 * Simulates a trace of jobs under a placement policy. Usage comes from the
 * trace, and reports of it are delayed.
 */
import {submit} from './placing.js';
import type {Policy} from './policies.js';
import {report, reportEveryMs} from './reports.js';
import type {Deployment, TraceJob} from './trace.js';
import {createSimulation, type Counts} from './simulation.js';

const hourMs = 3_600_000;

/** Figures of one run. */
export type PlacementFigures = Readonly<Counts> & {
	/** Customers under their quota that waited an hour without a start. */
	readonly starved: number;
};

/** Runs a trace under one policy. */
export const runTrace = (
	deployment: Deployment,
	trace: readonly TraceJob[],
	policy: Policy,
): PlacementFigures => {
	const simulation = createSimulation(deployment, policy);
	for (const job of trace) {
		simulation.queue.add(job.submittedAt, (now) => {
			submit(simulation, job, now);
		});
	}

	const endAt = deployment.hours * hourMs;
	for (let at = reportEveryMs; at <= endAt; at += reportEveryMs) {
		simulation.queue.add(at, (now) => {
			report(simulation, now);
		});
	}

	simulation.queue.advance(endAt);
	const {counts} = simulation;
	return {
		...counts,
		// Share of the urgent jobs instead of their number.
		urgentInTime:
			counts.urgentJobs > 0 ? counts.urgentInTime / counts.urgentJobs : 1,
		starved: simulation.starved.size,
	};
};
