/**
 * An advice service in memory. Like the platform's it handles one call at a time
 * in turn, also those whose callers have gone, and refuses calls while many wait.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {
	AdviceAnswer,
	AdviceQuery,
	AdviceService,
} from '../ports/advice.js';

/** Times of the service, in milliseconds. */
export type AdviceTimes = {
	readonly decisionMs: number;
	readonly eachMs: number;
	readonly validMs: number;
};

/** How the service fails. */
export type AdviceFault =
	/** Calls get no answer, and take no turn. */
	| {readonly kind: 'silent'}
	/** Calls are refused. */
	| {readonly kind: 'busy'}
	/** Calls take longer than stated. */
	| {readonly kind: 'slow'; readonly factor: number};

/** What became of a call. */
export type AdviceRecord = {
	readonly stepId: string;
	readonly executors: number;
	readonly outcome: 'answered' | 'unheard' | 'refused' | 'lost';
};

/** The line of one calling machine. */
export type AdviceTurns = {
	/**
	 * Takes a turn; `isGone` is asked as it ends. Never resolves if the call is
	 * lost.
	 */
	readonly take: (
		query: AdviceQuery,
		isGone: () => boolean,
	) => Promise<AdviceAnswer>;
};

/** Calls of a machine that may wait. */
const maxWaiting = 32;

/** Creates the line of a machine; `note` is called as each call ends. */
export const createAdviceTurns = (
	times: AdviceTimes,
	getFault: () => AdviceFault | undefined,
	note: (record: AdviceRecord) => void,
): AdviceTurns => {
	let waiting = 0;
	let last: Promise<unknown> = Promise.resolve();
	const handle = async (
		{executorIds}: AdviceQuery,
		before: Promise<unknown>,
	) => {
		await before;
		const fault = getFault();
		const factor = fault?.kind === 'slow' ? fault.factor : 1;
		await delay(
			factor * (times.decisionMs + times.eachMs * executorIds.length),
		);
		waiting -= 1;
	};

	return {
		async take(query, isGone) {
			const {stepId, executorIds} = query;
			const record = {stepId, executors: executorIds.length};
			const fault = getFault();
			if (fault?.kind === 'silent') {
				note({...record, outcome: 'lost'});
				return new Promise<never>(() => {
					// Nobody answers.
				});
			}

			if (fault?.kind === 'busy' || waiting >= maxWaiting) {
				note({...record, outcome: 'refused'});
				return {kind: 'busy'};
			}

			waiting += 1;
			const turn = handle(query, last);
			last = turn;
			await turn;
			note({...record, outcome: isGone() ? 'unheard' : 'answered'});
			const tickets = executorIds.map((id) => [id, `${stepId} ${id}`] as const);
			return {kind: 'advice', advice: {tickets, validMs: times.validMs}};
		},
	};
};

export type MemoryAdvice = AdviceService & {
	readonly setFault: (fault: AdviceFault | undefined) => void;
	readonly listCalls: () => readonly AdviceRecord[];
};

/** Creates a service that names all executors, for one calling machine. */
export const createMemoryAdvice = (times: AdviceTimes): MemoryAdvice => {
	const records: AdviceRecord[] = [];
	let fault: AdviceFault | undefined;
	const turns = createAdviceTurns(
		times,
		() => fault,
		(record) => {
			records.push(record);
		},
	);
	return {
		async requestAdvice(query, timeoutMs) {
			let isGone = false;
			const giveUp = async (): Promise<AdviceAnswer> => {
				await delay(timeoutMs, undefined, {ref: false});
				isGone = true;
				return {kind: 'no-answer'};
			};

			return Promise.race([turns.take(query, () => isGone), giveUp()]);
		},
		setFault(value) {
			fault = value;
		},
		listCalls: () => records,
	};
};
