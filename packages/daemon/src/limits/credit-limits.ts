/**
 * Limits across entries as a part: one gate a pool, one heartbeat to all
 * peers, and the layer that lets a call through when it has a credit.
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
import {createLocalSlots} from '../upstream/slots.js';
import type {TakeSlot} from '../upstream/types.js';
import type {CreditChannel, CreditPeer} from './credit-channel.js';
import * as gates from './pool-gate.js';

/** What the limits need. */
export type CreditLimitsDeps = {
	/** Entry and incarnation of this entry. */
	readonly self: string;
	readonly channel: CreditChannel;
	readonly now: () => number;
	readonly settings: core.CreditSettings;
	/** Silence of a peer after which another home is turned to. */
	readonly silentAfterMs: number;
	/**
	 * The listed entries without this one; undefined until they are known.
	 * Until then this entry uses its static share.
	 */
	readonly listPeers: () => readonly CreditPeer[] | undefined;
	/** Slots by executor of every pool that serves. */
	readonly getSlots: () => ReadonlyMap<string, ReadonlyMap<string, number>>;
	/** False while this entry may send nothing; dispatch refuses then. */
	readonly mayRoute: () => boolean;
	/** Draws a number in [0, 1). */
	readonly random: () => number;
	/** Requests that this entry may have on one executor of a pool, at most. */
	readonly getOwnLimit: (pool: string) => number;
};

/** The part, the layer and the taker of slots. */
export type CreditLimits = Part & {
	/** Stands inside admission and around dispatch. */
	readonly layer: CallLayer;
	readonly getTakeSlot: (service: core.Service) => TakeSlot;
	/**
	 * Slots of a pool that this entry holds, and as many more as calls may
	 * wait for, so that the home sees the demand.
	 */
	readonly getOpenSlots: (pool: string, waiting: number) => number;
	/** Connections to one executor that this entry may have open now. */
	readonly getConnectionLimit: (
		service: core.Service,
		executor: string,
	) => number;
	/** This entry stops: others follow another home. */
	readonly leave: () => void;
	readonly getGate: (pool: string) => gates.PoolGate;
};

/** A peer that is not listed counts so long after its last message. */
const unlistedKeptMs = 10_000;

/** Creates the limits; nothing is sent before the start. */
export const createCreditLimits = (deps: CreditLimitsDeps): CreditLimits => {
	const {self, channel, now, settings, silentAfterMs} = deps;
	const all = new Map<string, gates.PoolGate>();
	const heardAt: core.unresponsiveMembers.LastContactAt = new Map();
	const heard = new Set<string>();
	const ended = new Set<string>();
	const leaving = new Set<string>();
	/** Peers that have sent messages, listed or not yet. */
	const callers = new Map<string, CreditPeer>();

	/** The listed entries, and those that were heard before they were listed. */
	const listPeers = (): readonly CreditPeer[] => {
		const listed = deps.listPeers() ?? [];
		const names = new Set(listed.map((each) => each.member));
		const sinceMs = now() - unlistedKeptMs;
		const unlisted = [...callers.values()].filter(
			({member}) =>
				!names.has(member) && (heardAt.get(member) ?? sinceMs) > sinceMs,
		);
		return [...listed, ...unlisted];
	};

	let isLeaving = false;
	let timer: NodeJS.Timeout | undefined;
	/** What is being answered now, and to whom. */
	let answering: {to: string; messages: CreditMessage[]} | undefined;

	const takeIn = (from: string, messages: readonly CreditMessage[]) => {
		heardAt.set(from, now());
		heard.add(from);
		for (const message of messages) {
			const {pool, borrower} =
				message.kind === 'report' ? message.report : message.grant;
			// A report speaks for its sender only.
			if (message.kind === 'grant' || borrower === from) {
				all.get(pool)?.receive(message);
			}
		}
	};

	const post = async (peer: CreditPeer, messages: readonly CreditMessage[]) => {
		const delivery = await channel.send(peer, messages, isLeaving);
		if (delivery.kind === 'delivered') {
			takeIn(peer.member, delivery.messages);
		} else if (delivery.kind === 'refused' && heard.has(peer.member)) {
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
				void post(peer, [message]);
			}
		}
	};

	const getGate = (pool: string): gates.PoolGate => {
		const known = all.get(pool);
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
		all.set(pool, gate);
		return gate;
	};

	let membersForm = '';
	const updateAll = () => {
		if (!deps.listPeers()) {
			return;
		}

		const peers = listPeers().filter((each) => !ended.has(each.member));
		const names = peers.map((each) => each.member);
		const silent = core.unresponsiveMembers.getUnresponsiveMembers(
			heardAt,
			names,
			now(),
			silentAfterMs,
		);
		const slots = deps.getSlots();
		const listed = [self, ...names].toSorted();
		const form = JSON.stringify([
			listed,
			[...silent],
			[...leaving],
			[...slots].map(([pool, counts]) => [pool, [...counts]]),
		]);
		if (form === membersForm) {
			return;
		}

		membersForm = form;
		for (const pool of new Set([...slots.keys(), ...all.keys()])) {
			getGate(pool).update({
				listed,
				unresponsive: silent,
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
		for (const gate of all.values()) {
			for (const {to, message} of gate.tick()) {
				batches.get(to)?.messages.push(message);
			}
		}

		for (const [member, {peer, messages}] of batches) {
			if (!ended.has(member)) {
				void post(peer, messages);
			}
		}
	};

	channel.onMessages((from, messages, isFromLeaving) => {
		callers.set(from.member, from);
		if (isFromLeaving) {
			leaving.add(from.member);
		}

		answering = {to: from.member, messages: []};
		takeIn(from.member, messages);
		const answer = answering.messages;
		answering = undefined;
		return answer;
	});

	/** Waits at the gate until the call passes, is late or is cancelled. */
	const enter = async (
		gate: gates.PoolGate,
		call: Call,
		next: CallHandler,
	): Promise<CallResult> =>
		new Promise((resolve) => {
			const held: {
				timer?: NodeJS.Timeout;
				remove?: () => void;
				stopListening?: () => void;
			} = {};
			let hasPassed = false;
			const settle = (result: CallResult | Promise<CallResult>) => {
				clearTimeout(held.timer);
				held.stopListening?.();
				held.remove?.();
				resolve(result);
			};

			held.remove = gate.enter({
				deadline: call.deadline,
				pass() {
					hasPassed = true;
					const cutAt = now() + settings.longestAttemptMs;
					const deadline = Math.min(call.deadline, cutAt);
					settle(next({...call, deadline}));
				},
			});
			if (hasPassed) {
				return;
			}

			const leftMs = Math.max(0, call.deadline - now());
			held.timer = setTimeout(() => {
				const {longestAttemptMs} = settings;
				settle(createError('deadline-in-queue', 0, longestAttemptMs));
			}, leftMs);
			held.stopListening = call.cancellation.onCancel(() => {
				settle(createError('cancelled'));
			});
		});

	const layer: CallLayer = (next) => async (call) => {
		const gate = getGate(call.service.pool);
		updateAll();
		const isOpen = deps.listPeers() && deps.mayRoute();
		if (!isOpen || !deps.getSlots().get(call.service.pool)?.size) {
			// Dispatch keeps to the static share, or knows why nothing may go.
			return next(call);
		}

		if (call.cancellation.isCancelled()) {
			return createError('cancelled');
		}

		return enter(gate, call, next);
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
			for (const gate of all.values()) {
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
		leave() {
			isLeaving = true;
			leaving.add(self);
			tick();
		},
		getGate,
	};
};
