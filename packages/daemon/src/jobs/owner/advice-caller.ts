/**
 * Calls the advice service for all owners of a daemon. What an owner wants is read
 * from its latest plan when a call may be sent, so that nothing is asked for that
 * no longer waits.
 */
import {scheduler} from '@gullstand/core';
import type {AdviceAnswer, AdviceService} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import type {JobMetrics} from '../job-metrics.js';

/** An owner whose steps need advice. */
export type AdviceClient = {
	/** Shard of the owner's service. */
	readonly shard: string;
	/** Absent until its state is loaded. */
	readonly getOwner: () => scheduler.Owner | undefined;
	/** Called after an answer was applied to the owner's state. */
	readonly onAdvice: () => void;
};

export type AdviceCallerDeps = {
	readonly advice: AdviceService;
	readonly listClients: () => readonly AdviceClient[];
	readonly now: () => number;
	/** Returns a number from 0 to 1. */
	readonly random: () => number;
	readonly logger: Pick<Logger, 'info'>;
	readonly metrics: Pick<JobMetrics, 'count' | 'registerGauge'>;
	/** Called with an exception of a call. */
	readonly reportFailure: ReportFailure;
};

export type AdviceCaller = {
	/** Sends the most urgent request if a call may be sent now. */
	readonly notify: () => void;
	readonly stop: () => void;
};

/** A call under way, and for whom. */
type Sent = {
	readonly call: scheduler.AdviceCall;
	readonly owner: scheduler.Owner;
	readonly request: scheduler.AdviceRequest;
	isOverdue: boolean;
};

type Choice = {
	readonly client: AdviceClient;
	readonly owner: scheduler.Owner;
	readonly wish: scheduler.AdviceWish;
};

const getOutcome = ({kind}: AdviceAnswer): scheduler.AdviceOutcome =>
	kind === 'advice' ? 'answered' : kind;

export const createAdviceCaller = (deps: AdviceCallerDeps): AdviceCaller => {
	const {advice, now, logger, metrics} = deps;
	let line = scheduler.emptyAdviceLine;
	let timer: NodeJS.Timeout | undefined;
	let isStopped = false;
	const sent = new Set<Sent>();

	const listWishes = (): readonly scheduler.AdviceWish[] =>
		deps
			.listClients()
			.flatMap(({getOwner}) => [...(getOwner()?.adviceWishes.values() ?? [])]);

	metrics.registerGauge('advice_wanted', '', () => listWishes().length);
	metrics.registerGauge('advice_calls_open', '', () => line.calls.length);
	metrics.registerGauge('advice_oldest_ms', '', () => {
		const wishes = listWishes();
		return wishes.length === 0
			? undefined
			: Math.round(
					now() - Math.min(...wishes.map(({wantedSince}) => wantedSince)),
				);
	});

	const choose = (): Choice | undefined => {
		let best: Choice | undefined;
		for (const client of deps.listClients()) {
			const owner = client.getOwner();
			const wish = owner && scheduler.findAdviceWish(owner);
			if (wish && (!best || scheduler.compareWishes(wish, best.wish) < 0)) {
				best = {client, owner, wish};
			}
		}

		return best;
	};

	const call = async ({client, owner, wish}: Choice) => {
		const request = scheduler.takeAdviceRequest(owner, wish);
		const sentAt = now();
		const begun = scheduler.beginAdviceCall(line, request.costMs, sentAt);
		line = begun.line;
		const entry: Sent = {call: begun.call, owner, request, isOverdue: false};
		sent.add(entry);
		const answer = await advice.requestAdvice(request, begun.call.timeoutMs);
		sent.delete(entry);
		if (isStopped) {
			return;
		}

		const outcome = getOutcome(answer);
		const answeredAt = now();
		line = scheduler.endAdviceCall(line, begun.call, outcome, {
			now: answeredAt,
			random: deps.random(),
		});
		const given = match(answer)
			.with({kind: 'advice'}, (each) => each.advice)
			.with({kind: 'busy'}, {kind: 'no-answer'}, () => undefined)
			.exhaustive();
		metrics.count('advice_calls', outcome);
		logger.info('advice', {
			shard: client.shard,
			step: request.stepId,
			asked: request.executorIds.length,
			outcome,
			named: given?.tickets.length,
			validMs: given?.validMs,
			waitedMs: Math.round(sentAt - wish.wantedSince),
			expectedMs: Math.round(begun.call.expectedMs),
			tookMs: Math.round(answeredAt - sentAt),
			open: line.calls.length,
			failures: line.failures,
		});
		// Counted from the receipt of the answer, which is later than its creation.
		scheduler.applyAdvice(owner, request, given, answeredAt);
		client.onAdvice();
		notify();
	};

	const noteOverdue = () => {
		for (const entry of sent) {
			if (!entry.isOverdue && now() >= entry.call.overdueAt) {
				entry.isOverdue = true;
				scheduler.noteAdviceOverdue(entry.owner, entry.request);
				metrics.count('advice_calls', 'overdue');
			}
		}
	};

	const notify = () => {
		clearTimeout(timer);
		if (isStopped) {
			return;
		}

		noteOverdue();
		for (;;) {
			const nextAt = scheduler.getNextCallAt(line);
			const choice = choose();
			if (!choice) {
				return;
			}

			if (now() < nextAt) {
				if (Number.isFinite(nextAt)) {
					timer = setTimeout(notify, Math.ceil(nextAt - now()));
				}

				return;
			}

			runInBackground(async () => call(choice), deps.reportFailure);
		}
	};

	return {
		notify,
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
};
