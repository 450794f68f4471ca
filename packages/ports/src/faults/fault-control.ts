/**
 * Injected faults of the platform, either scripted or random, for the embedded
 * daemon, tests and benches.
 */

/** Kinds of fault of one call. */
export const faultKinds = [
	'none',
	/** Fails at once as unavailable, without effect. */
	'unavailable',
	/** Times out without effect. */
	'request-lost',
	/** Times out although it took effect. */
	'reply-lost',
] as const;

export type FaultKind = (typeof faultKinds)[number];

/** Fault of one call; half of its delay precedes the effect, half follows. */
export type Fault = {readonly kind: FaultKind; readonly delayMs: number};

/** Faults of calls that are not scripted. */
export type FaultSettings = {
	readonly isDown: boolean;
	readonly delayMs: number;
	/** Fraction of calls, from 0 to 1. */
	readonly requestLostShare: number;
	/** Fraction of calls, from 0 to 1. */
	readonly replyLostShare: number;
	/** The instance list is frozen at its last state. */
	readonly isListStale: boolean;
};

export const noFaults: FaultSettings = {
	isDown: false,
	delayMs: 0,
	requestLostShare: 0,
	replyLostShare: 0,
	isListStale: false,
};

/** Chooses the fault of each call and applies delays. */
export type FaultControl = {
	readonly getSettings: () => FaultSettings;
	/** Changes the given settings only. */
	readonly set: (settings: Partial<FaultSettings>) => void;
	/** Sets the faults of the next calls, in order, regardless of settings. */
	readonly script: (kinds: readonly FaultKind[]) => void;
	/** Returns the fault of the next call. */
	readonly next: () => Fault;
	readonly wait: (delayMs: number) => Promise<void>;
	/** How long a caller waits for a lost reply, in milliseconds. */
	readonly timeoutMs: number;
};

/** Random source and timing of a fault control. */
export type FaultOptions = {
	/** Returns a number in [0, 1). */
	readonly random: () => number;
	readonly wait: (delayMs: number) => Promise<void>;
	readonly timeoutMs: number;
};

const chooseKind = (settings: FaultSettings, sample: number): FaultKind => {
	if (settings.isDown) {
		return 'unavailable';
	}

	if (sample < settings.replyLostShare) {
		return 'reply-lost';
	}

	return sample < settings.replyLostShare + settings.requestLostShare
		? 'request-lost'
		: 'none';
};

/** Creates a control that injects no faults yet. */
export const createFaultControl = (options: FaultOptions): FaultControl => {
	let settings = noFaults;
	const scripted: FaultKind[] = [];
	return {
		getSettings: () => settings,
		set(changes) {
			settings = {...settings, ...changes};
		},
		script(kinds) {
			scripted.push(...kinds);
		},
		next() {
			const sample = options.random();
			return {
				kind: scripted.shift() ?? chooseKind(settings, sample),
				delayMs: settings.delayMs,
			};
		},
		wait: options.wait,
		timeoutMs: options.timeoutMs,
	};
};
