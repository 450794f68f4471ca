/** Work submitted recently to a service, with exponential decay. */
import type {Arrivals} from '../state/owner-state.js';

/**
 * Time constant of the exponential decay, in milliseconds: long enough to
 * smooth out single jobs, short enough to show a rise within a second.
 */
export const arrivalWindowMs = 1200;

/** Arrivals of a new owner. */
export const noArrivals: Arrivals = {work: 0, at: 0};

const decay = ({work, at}: Arrivals, now: number): number =>
	work * Math.exp(-Math.max(0, now - at) / arrivalWindowMs);

/** Adds newly submitted work. */
export const recordArrival = (
	arrivals: Arrivals,
	work: number,
	now: number,
): Arrivals => ({work: decay(arrivals, now) + work, at: now});

/** Cpu that recently submitted work keeps busy, in thousandths of a core. */
export const getArrivingCpu = (arrivals: Arrivals, now: number): number =>
	decay(arrivals, now) / arrivalWindowMs;
