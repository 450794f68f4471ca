/** Lists of arrivals, spread over entries as by a load balancer. */
import type {RequestClass} from '@gullstand/core';
import {
	createRandom,
	drawBelow,
	drawExponential,
	drawLogNormal,
	type Random,
} from '../../frame/random.js';
import {classMix, serviceSigma, type ServiceSize} from './sizes.js';

/** One request with its service time. */
export type Arrival = {
	readonly at: number;
	readonly customer: number;
	readonly class: RequestClass;
	readonly serviceMs: number;
};

const drawClass = (random: Random): (typeof classMix)[number] => {
	let left = random();
	for (const each of classMix) {
		left -= each.share;
		if (left < 0) {
			return each;
		}
	}

	return classMix[0]!;
};

/** Load of one customer. */
export type Sender = {
	readonly customer: number;
	readonly requestsPerSecond: number;
};

/**
 * Draws a customer's requests, as lists by entry. The requests depend only on
 * the seed, the customer and the rate.
 */
export const drawArrivals = (
	size: ServiceSize,
	sender: Sender,
	entries: number,
	run: {readonly seed: number; readonly lengthMs: number},
): Arrival[][] => {
	const random = createRandom(run.seed * 1009 + sender.customer * 101 + 7);
	const meanGapMs = 1000 / sender.requestsPerSecond;
	const lists: Arrival[][] = Array.from({length: entries}, () => []);
	let at = drawExponential(random, meanGapMs);
	while (at < run.lengthMs) {
		const {class: requestClass, factor} = drawClass(random);
		const medianMs = size.medianMs * factor;
		lists[drawBelow(random, entries)]!.push({
			at,
			customer: sender.customer,
			class: requestClass,
			serviceMs: drawLogNormal(random, medianMs, serviceSigma),
		});
		at += drawExponential(random, meanGapMs);
	}

	return lists;
};

/** Merges the lists of all senders for each entry by time. */
export const mergeArrivals = (
	all: ReadonlyArray<ReadonlyArray<readonly Arrival[]>>,
	entries: number,
): Arrival[][] =>
	Array.from({length: entries}, (_, entry) =>
		all.flatMap((lists) => lists[entry]!).sort((a, b) => a.at - b.at),
	);
