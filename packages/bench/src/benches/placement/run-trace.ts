/**
 * Feeds a trace to the placement decisions and counts. No network, no host:
 * a job uses what the trace says, reports lag, and a worker over its memory
 * evicts its youngest job.
 */
import {submit} from './placing.js';
import type {Policy} from './policies.js';
import {report, reportEveryMs} from './reports.js';
import type {Deployment, TraceJob} from './trace.js';
import {createSimulation, type Counts} from './simulation.js';

const hourMs = 3_600_000;

/** What one run counted. */
export type PlacementFigures = Readonly<Counts> & {
	/** Customers that waited an hour, under their quota, for any start. */
	readonly starved: number;
};

/** Runs a trace under one way to place. */
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
		// The share of the urgent jobs in place of their number.
		urgentInTime:
			counts.urgentJobs > 0 ? counts.urgentInTime / counts.urgentJobs : 1,
		starved: simulation.starved.size,
	};
};
