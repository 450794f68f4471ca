/**
 * `bench calendar`: maintenance of the planned fleet within seven weeks, with
 * 20 failures and 170 restarts a day and a rack, a switch and a zone lost.
 */
import {waves} from '@gullstand/core';
import {check} from '../frame/check.js';
import {createRandom} from '../frame/random.js';
import type {Bench, BenchOptions, Check, Figures} from '../frame/types.js';
import {checkBudgets, checkMoves, getFigures} from './wave/figures.js';
import {createFleet} from './wave/fleet.js';
import type {Plan} from './wave/plan.js';
import {runWave} from './wave/run.js';
import {
	createDailyOutages,
	createDomainOutages,
	sizes,
	type Size,
} from './wave/scenario.js';

const hourMs = 3_600_000;
const dayMs = 24 * hourMs;
const weeksAllowed = 7;
const daysAllowed = 7 * weeksAllowed;
const warmUpMs = 12 * hourMs;
/** Hours in which a rack, a switch and an availability zone are lost. */
const outageHours = [13, 25, 37] as const;
/** Divisor of the fleet and of its failures in a short run. */
const shortPart = 10;

const base: Plan = {
	settings: waves.waveDefaults,
	targets: 'done',
	startAt: warmUpMs,
	forMs: daysAllowed * dayMs,
	tickMs: 60_000,
};

/** Plans with and without a nightly maintenance window. */
const plans: Readonly<Record<string, Plan>> = {
	allDay: base,
	nights: {...base, windowHours: [0, 4]},
};

const getSize = (short: boolean): Size => {
	const part = short ? shortPart : 1;
	return {
		...sizes.planned,
		workers: Math.round(sizes.planned.workers / part),
		pools: Math.round(sizes.planned.pools / part),
	};
};

const runPlan = (size: Size, plan: Plan, seed: number) => {
	const random = createRandom(seed);
	const part = size.workers / sizes.planned.workers;
	const perDay = {failures: 20 * part, restarts: 170 * part};
	const fleet = createFleet(size, random, (instances) => [
		...createDailyOutages(instances, random, daysAllowed, perDay),
		...createDomainOutages(size, instances, random, outageHours),
	]);
	return runWave(fleet, plan);
};

const run = async ({seed, short, log}: BenchOptions) => {
	const size = getSize(short);
	const baselines: Record<string, Figures> = {};
	const figures: Record<string, number | string> = {workers: size.workers};
	const checks: Check[] = [];
	for (const [name, plan] of Object.entries(plans)) {
		const outcome = runPlan(size, plan, seed);
		const days = Math.round(outcome.days * 100) / 100;
		baselines[name] = getFigures([outcome]);
		figures[`${name} days`] = days;
		log(`${name}: ${days} days ${JSON.stringify(baselines[name])}`);
		checks.push(
			check(`${name}: days until all are maintained`, days, '<=', daysAllowed),
			check(`${name}: left out`, size.workers - outcome.done, '==', 0),
			...checkBudgets(name, [outcome]),
			checkMoves(name, [outcome]),
		);
	}

	return {figures, baselines, checks};
};

/** The calendar bench. */
export const bench: Bench = {
	name: 'calendar',
	summary: 'the whole fleet maintained within seven weeks',
	run,
};
