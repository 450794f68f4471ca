/**
 * `bench placement`: placement by learned usage, compared with first fit on
 * declared sizes and with best fit on sizes known in advance.
 */
import * as core from '@gullstand/core';
import {check} from '../frame/check.js';
import type {Bench, BenchOptions, Check, Figures} from '../frame/types.js';
import * as policies from './placement/policies.js';
import {runTrace, type PlacementFigures} from './placement/run-trace.js';
import {createTrace, type Deployment} from './placement/trace.js';

const harrowby: Deployment = {
	name: 'harrowby',
	workers: 35,
	capacity: {cores: 32, memoryMb: 64_000, accelerators: 0},
	customers: 6,
	load: 0.9,
	hours: 24,
	relocation: core.placement.fewerMovesConfig,
};

const isarwelle: Deployment = {
	...harrowby,
	name: 'isarwelle',
	capacity: {cores: 16, memoryMb: 64_000, accelerators: 0},
	relocation: core.placement.lessIdleCapacityConfig,
};

const planned: Deployment = {
	...harrowby,
	name: 'planned',
	workers: 3300,
	customers: 110,
	hours: 2,
};

const maxBufferRatio = 1.15;

const minUrgentInTime = 0.99;

const maxRackShare = 0.5;

const prefix = (name: string, figures: PlacementFigures): Figures =>
	Object.fromEntries(
		Object.entries(figures).map(([key, value]) => [
			`${name} ${key}`,
			Math.round(value * 1000) / 1000,
		]),
	);

const createChecks = (
	name: string,
	own: PlacementFigures,
	bound: PlacementFigures,
	noHysteresis: PlacementFigures,
): Check[] => [
	check(
		`${name}: buffer against sizes known in advance`,
		own.bufferCoreHours / bound.bufferCoreHours,
		'<=',
		maxBufferRatio,
	),
	check(
		`${name}: urgent work started within 1.5 s`,
		own.urgentInTime,
		'>=',
		minUrgentInTime,
	),
	check(`${name}: customers starved`, own.starved, '==', 0),
	check(
		`${name}: largest share of a customer in a rack`,
		own.maxRackShare,
		'<=',
		maxRackShare,
	),
	check(
		`${name}: moves against none of the hysteresis`,
		own.moves / Math.max(1, noHysteresis.moves),
		'<=',
		1,
	),
];

const run = async ({seed, short, log}: BenchOptions) => {
	const deployments = short
		? [harrowby, isarwelle]
		: [harrowby, isarwelle, planned];
	let figures: Figures = {};
	const baselines: Record<string, Figures> = {};
	const checks: Check[] = [];
	for (const deployment of deployments) {
		const {name} = deployment;
		const trace = createTrace(deployment, seed);
		const runPolicy = (policy: policies.Policy): PlacementFigures => {
			log(`${name}: ${policy.name}, ${trace.length} jobs`);
			return runTrace(deployment, trace, policy);
		};

		const own = runPolicy({
			...policies.learned,
			relocation: deployment.relocation,
		});
		const found = new Map(
			policies.baselines.map((policy) => [policy.name, runPolicy(policy)]),
		);
		for (const [policy, each] of found) {
			baselines[policy] = {...baselines[policy], ...prefix(name, each)};
		}

		figures = {...figures, ...prefix(name, own)};
		checks.push(
			...createChecks(
				name,
				own,
				found.get(policies.bestFitKnown.name)!,
				found.get(policies.withoutHysteresis.name)!,
			),
		);
	}

	return {figures, baselines, checks};
};

/** The placement bench. */
export const bench: Bench = {
	name: 'placement',
	summary: 'buffer, moves and urgent starts against first fit and best fit',
	run,
};
