/**
 * Concurrency limits across entries: one gate per pool, one heartbeat to all
 * peers, and the layer that passes a call when it has a credit.
 * Source: docs/design/limits.md.
 */
import * as core from '@gullstand/core';
import type {CreditEnvelope, CreditMessage} from '@gullstand/core';
import {
	createError,
	type Call,
	type CallHandler,
	type CallLayer,
	type CallResult,
} from '../caller/call.js';
import type {Part} from '../supervisor/supervisor.js';
import {createLocalSlots} from '../upstream/local-slots.js';
import type {TakeSlot} from '../upstream/types.js';
import type {CreditChannel, CreditPeer} from './credit-channel.js';
import * as gates from './pool-gate.js';

/** Dependencies of the limits. */
export type CreditLimitsDeps = {
	/** Entry and incarnation of this entry. */
	readonly self: string;
	readonly channel: CreditChannel;
	readonly now: () => number;
	readonly settings: core.CreditSettings;
	/** Time without contact after which another credit coordinator is used. */
	readonly unresponsiveAfterMs: number;
	/**
	 * Registered entries except this one; undefined until they are known. Until
	 * then this entry uses its static share.
	 */
	readonly listPeers: () => readonly CreditPeer[] | undefined;
	/** Slots by executor of every serving pool. */
	readonly getSlots: () => ReadonlyMap<string, ReadonlyMap<string, number>>;
	/** False while this entry may not send requests; dispatch refuses then. */
	readonly mayRoute: () => boolean;
	/** Draws a number in [0, 1). */
	readonly random: () => number;
	/** Maximum requests from this entry on one executor of a pool. */
	readonly getOwnLimit: (pool: string) => number;
};

/** Concurrency limits of one entry. */
export type CreditLimits = Part & {
	/** Runs after admission and wraps dispatch. */
	readonly layer: CallLayer;
	readonly getTakeSlot: (service: core.Service) => TakeSlot;
	/**
	 * Slots of a pool that this entry holds, plus the calls that may wait, so that
	 * the credit coordinator sees the demand.
	 */
	readonly getOpenSlots: (pool: string, waiting: number) => number;
	/** Maximum open connections from this entry to one executor. */
	readonly getConnectionLimit: (
		service: core.Service,
		executor: string,
	) => number;
	/** Announces that this entry stops, so that others change coordinator. */
	readonly announceLeaving: () => void;
	readonly getGate: (pool: string) => gates.PoolGate;
};

/** How long an unlisted peer counts after its last message. */
const unlistedTtlMs = 10_000;

/** Creates the limits; sends nothing before the start. */
export const createCreditLimits = (deps: CreditLimitsDeps): CreditLimits => {
	const {self, channel, now, settings, unresponsiveAfterMs} = deps;
	const gatesByPool = new Map<string, gates.PoolGate>();
	const lastContactAt: core.unresponsiveMembers.LastContactAt = new Map();
	const contacted = new Set<string>();
	const ended = new Set<string>();
	const leaving = new Set<string>();
	/** Peers that have sent messages, listed or not. */
	const callers = new Map<string, CreditPeer>();

	/** Listed entries, and others that have sent messages recently. */
	const listPeers = (): readonly CreditPeer[] => {
		const listed = deps.listPeers() ?? [];
		const names = new Set(listed.map((each) => each.member));
		const sinceMs = now() - unlistedTtlMs;
		const unlisted = [...callers.values()].filter(
			({member}) =>
				!names.has(member) && (lastContactAt.get(member) ?? sinceMs) > sinceMs,
		);
		return [...listed, ...unlisted];
	};

	let isLeaving = false;
	let timer: NodeJS.Timeout | undefined;
	/** The answer being collected, and its receiver. */
	let answering: {to: string; messages: CreditMessage[]} | undefined;

	const receiveMessages = (
		from: string,
		messages: readonly CreditMessage[],
	) => {
		lastContactAt.set(from, now());
		contacted.add(from);
		for (const message of messages) {
			const {pool, borrower} =
				message.kind === 'report' ? message.report : message.grant;
			// Ignores a report that names another borrower than its sender.
			if (message.kind === 'grant' || borrower === from) {
				gatesByPool.get(pool)?.receive(message);
			}
		}
	};

	const sendToPeer = async (
		peer: CreditPeer,
		messages: readonly CreditMessage[],
	) => {
		const delivery = await channel.send(peer, messages, isLeaving);
		if (delivery.kind === 'delivered') {
			receiveMessages(peer.member, delivery.messages);
		} else if (delivery.kind === 'refused' && contacted.has(peer.member)) {
			ended.add(peer.member);
			updateAll();
		}
	};

	const send = (envelopes: readonly CreditEnvelope[]) => {
		const peers = new Map(listPeers().map((each) => [each.member, each]));
		for (const {to, message} of envelopes) {
			const peer = peers.get(to);
			if (answering?.to === to) {
				answering.messages.push(message);
			} else if (peer) {
				void sendToPeer(peer, [message]);
			}
		}
	};

	const getGate = (pool: string): gates.PoolGate => {
		const known = gatesByPool.get(pool);
		if (known) {
			return known;
		}

		const gate = gates.createPoolGate({
			pool,
			self,
			settings,
			now,
			send,
			getOwnLimit: () => deps.getOwnLimit(pool),
		});
		gatesByPool.set(pool, gate);
		return gate;
	};

	let lastMembersJson = '';
	const updateAll = () => {
		if (!deps.listPeers()) {
			return;
		}

		const peers = listPeers().filter((each) => !ended.has(each.member));
		const names = peers.map((each) => each.member);
		const unresponsive = core.unresponsiveMembers.getUnresponsiveMembers(
			lastContactAt,
			names,
			now(),
			unresponsiveAfterMs,
		);
		const slots = deps.getSlots();
		const listed = [self, ...names].toSorted();
		const membersJson = JSON.stringify([
			listed,
			[...unresponsive],
			[...leaving],
			[...slots].map(([pool, counts]) => [pool, [...counts]]),
		]);
		if (membersJson === lastMembersJson) {
			return;
		}

		lastMembersJson = membersJson;
		for (const pool of new Set([...slots.keys(), ...gatesByPool.keys()])) {
			getGate(pool).update({
				listed,
				unresponsive,
				leaving: new Set(leaving),
				ended,
				slots: slots.get(pool) ?? new Map<string, number>(),
			});
		}
	};

	const tick = () => {
		updateAll();
		const batches = new Map(
			listPeers().map((peer) => [
				peer.member,
				{peer, messages: [] as CreditMessage[]},
			]),
		);
		for (const gate of gatesByPool.values()) {
			for (const {to, message} of gate.tick()) {
				batches.get(to)?.messages.push(message);
			}
		}

		for (const [member, {peer, messages}] of batches) {
			if (!ended.has(member)) {
				void sendToPeer(peer, messages);
			}
		}
	};

	channel.onMessages((from, messages, isFromLeaving) => {
		callers.set(from.member, from);
		if (isFromLeaving) {
			leaving.add(from.member);
		}

		answering = {to: from.member, messages: []};
		receiveMessages(from.member, messages);
		const answer = answering.messages;
		answering = undefined;
		return answer;
	});

	/** Waits at the gate until the call passes, expires or is cancelled. */
	const waitAtGate = async (
		gate: gates.PoolGate,
		call: Call,
		next: CallHandler,
	): Promise<CallResult> =>
		new Promise((resolve) => {
			const resources: {
				timer?: NodeJS.Timeout;
				remove?: () => void;
				stopListening?: () => void;
			} = {};
			let hasPassed = false;
			const complete = (result: CallResult | Promise<CallResult>) => {
				clearTimeout(resources.timer);
				resources.stopListening?.();
				resources.remove?.();
				resolve(result);
			};

			resources.remove = gate.enqueue({
				deadline: call.deadline,
				admit() {
					hasPassed = true;
					const attemptEndsAt = now() + settings.longestAttemptMs;
					const deadline = Math.min(call.deadline, attemptEndsAt);
					complete(next({...call, deadline}));
				},
			});
			if (hasPassed) {
				return;
			}

			const leftMs = Math.max(0, call.deadline - now());
			resources.timer = setTimeout(() => {
				const {longestAttemptMs} = settings;
				complete(createError('deadline-in-queue', 0, longestAttemptMs));
			}, leftMs);
			resources.stopListening = call.cancellation.onCancel(() => {
				complete(createError('cancelled'));
			});
		});

	const layer: CallLayer = (next) => async (call) => {
		const gate = getGate(call.service.pool);
		updateAll();
		const isOpen = deps.listPeers() && deps.mayRoute();
		if (!isOpen || !deps.getSlots().get(call.service.pool)?.size) {
			// Dispatch applies the static share or refuses the call.
			return next(call);
		}

		if (call.cancellation.isCancelled()) {
			return createError('cancelled');
		}

		return waitAtGate(gate, call, next);
	};

	return {
		name: 'credit-limits',
		async start() {
			updateAll();
			tick();
			timer = setInterval(tick, settings.heartbeatMs);
		},
		async stop() {
			clearInterval(timer);
			for (const gate of gatesByPool.values()) {
				gate.stop();
			}
		},
		layer,
		getTakeSlot(service) {
			const gate = getGate(service.pool);
			const limit = Math.min(
				deps.getOwnLimit(service.pool),
				service.slotsPerExecutor,
			);
			const takeLocal = createLocalSlots(limit, deps.random);
			return (candidates) =>
				deps.listPeers() ? gate.takeSlot(candidates) : takeLocal(candidates);
		},
		getOpenSlots(pool, waiting) {
			if (!deps.listPeers()) {
				return waiting;
			}

			const {borrower} = getGate(pool).getLimits();
			let held = 0;
			let total = 0;
			for (const [executor, count] of borrower.members.slots) {
				held += core.creditBorrower.getHeld(borrower, executor);
				total += count;
			}

			return Math.min(total, held + waiting);
		},
		getConnectionLimit(service, executor) {
			const {borrower} = getGate(service.pool).getLimits();
			return core.staticShare.getConnectionLimit(
				service.connectionsPerExecutor,
				service.slotsPerExecutor,
				borrower.members.listed.length,
				core.creditBorrower.getHeld(borrower, executor),
			);
		},
		announceLeaving() {
			isLeaving = true;
			leaving.add(self);
			tick();
		},
		getGate,
	};
};
