/**
 * Faults of the platform, chosen by script or by a random source, for the
 * embedded daemon, tests and benches.
 */

/** What happens to one call. */
export const faultKinds = [
	'none',
	/** Answered at once as unavailable, without effect. */
	'unavailable',
	/** Times out without effect. */
	'request-lost',
	/** Times out although it took effect. */
	'reply-lost',
] as const;

/** Kind of fault. */
export type FaultKind = (typeof faultKinds)[number];

/** Fault of one call and its delay, half before and half after the effect. */
export type Fault = {readonly kind: FaultKind; readonly delayMs: number};

/** What happens to calls that no script covers. */
export type FaultSettings = {
	readonly isDown: boolean;
	readonly delayMs: number;
	/** Shares of calls, from 0 to 1. */
	readonly requestLostShare: number;
	readonly replyLostShare: number;
	/** The list stays as it was when it became stale. */
	readonly isListStale: boolean;
};

/** Settings without faults. */
export const noFaults: FaultSettings = {
	isDown: false,
	delayMs: 0,
	requestLostShare: 0,
	replyLostShare: 0,
	isListStale: false,
};

/** Chooses the fault of each call and waits for time to pass. */
export type FaultControl = {
	readonly getSettings: () => FaultSettings;
	/** Changes some settings; the others stay. */
	readonly set: (settings: Partial<FaultSettings>) => void;
	/** The next calls meet these faults, in order, whatever the settings. */
	readonly script: (kinds: readonly FaultKind[]) => void;
	/** Fault of the next call. */
	readonly next: () => Fault;
	readonly wait: (delayMs: number) => Promise<void>;
	/** How long a caller waits for a reply that is lost, in milliseconds. */
	readonly timeoutMs: number;
};

/** Sources of chance and time. */
export type FaultOptions = {
	/** Numbers in [0, 1). */
	readonly random: () => number;
	readonly wait: (delayMs: number) => Promise<void>;
	readonly timeoutMs: number;
};

const chooseKind = (settings: FaultSettings, drawn: number): FaultKind => {
	if (settings.isDown) {
		return 'unavailable';
	}

	if (drawn < settings.replyLostShare) {
		return 'reply-lost';
	}

	return drawn < settings.replyLostShare + settings.requestLostShare
		? 'request-lost'
		: 'none';
};

/** Makes a control without faults. */
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
			const drawn = options.random();
			return {
				kind: scripted.shift() ?? chooseKind(settings, drawn),
				delayMs: settings.delayMs,
			};
		},
		wait: options.wait,
		timeoutMs: options.timeoutMs,
	};
};
