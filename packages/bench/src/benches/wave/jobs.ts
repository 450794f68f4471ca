/** Jobs of the wave benches: true, declared and estimated run times. */
import type {waves} from '@gullstand/core';
import {drawBelow, drawLogNormal, type Random} from '../../frame/random.js';

const minuteMs = 60_000;

/** One job. Times are in milliseconds. */
export type Job = {
	readonly id: string;
	readonly pool: string;
	readonly team: number;
	readonly cores: number;
	readonly runMs: number;
	readonly declaredMs: number;
	readonly movability: waves.Movability;
	/** Work that the last checkpoint has saved. */
	savedMs: number;
	startedAt: number;
	/** Progress when its worker went down; unset once the loss is listed. */
	lostAt: {readonly ranMs: number; readonly savedMs: number} | undefined;
	/** True if the wave moved it and its worker has not failed since. */
	hasMoved: boolean;
	/** Incremented at each start; tells the end of an earlier start apart. */
	starts: number;
};

/** Draws jobs and estimates the error of each team's declarations. */
export type JobSource = {
	readonly create: (pool: string) => Job;
	/** Updates the estimates by the true run time of a finished job. */
	readonly learn: (job: Job) => void;
	/** Estimate of the remaining run time of a job. */
	readonly estimate: (job: Job, now: number) => number;
	/** Mean of cores times run time. */
	readonly meanCoreMs: number;
};

const longShare = 0.12;
const learnRate = 0.05;

const drawMovability = (random: Random, isLong: boolean) => {
	const draw = random();
	const fixedShare = isLong ? 0.03 : 0.15;
	if (draw < fixedShare) {
		return 'none';
	}

	return draw < 0.85 ? 'checkpoint' : 'restart';
};

/** Declared run times are wrong by a factor of up to 10, mostly by team. */
export const createJobSource = (random: Random, teams: number): JobSource => {
	const biases = Array.from({length: teams}, () => 1.7 * (random() - 0.5));
	const learned = Array.from({length: teams}, () => 0);
	let count = 0;
	const create = (pool: string): Job => {
		const isLong = random() < longShare;
		const runMs = isLong
			? drawLogNormal(random, 300 * minuteMs, 0.6)
			: drawLogNormal(random, 15 * minuteMs, 0.8);
		const team = drawBelow(random, teams);
		const error = biases[team]! + 0.3 * (random() - 0.5);
		count += 1;
		return {
			id: `j${count}`,
			pool,
			team,
			cores: 1 + drawBelow(random, 6),
			runMs,
			declaredMs: runMs * 10 ** error,
			movability: drawMovability(random, isLong),
			savedMs: 0,
			startedAt: 0,
			lostAt: undefined,
			hasMoved: false,
			starts: 0,
		};
	};

	const learn = ({team, runMs, declaredMs}: Job) => {
		const seen = Math.log10(runMs / declaredMs);
		learned[team]! += learnRate * (seen - learned[team]!);
	};

	const estimate = (job: Job, now: number) => {
		const done = job.savedMs + now - job.startedAt;
		const total = job.declaredMs * 10 ** learned[job.team]!;
		return Math.max(total - done, 0.25 * done, minuteMs);
	};

	const meanRunMs =
		longShare * 300 * minuteMs * Math.exp(0.18) +
		(1 - longShare) * 15 * minuteMs * Math.exp(0.32);
	return {create, learn, estimate, meanCoreMs: 3.5 * meanRunMs};
};
