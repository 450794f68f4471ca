/** Credit messages between entries over the peer channel. */
import type {CreditMessage} from '@gullstand/core';
import {z} from 'zod';
import type {PeerChannel} from '../peers/peer-channel.js';
import type {PeerSchema} from '../peers/peer-methods.js';

/** A registered entry that takes part in credits. */
export type CreditPeer = {
	/** Entry and incarnation, as formatted by `formatMember`. */
	readonly member: string;
	/** Address and port of its peer channel. */
	readonly address: string;
};

/** Outcome of a send; only `refused` proves that no process listens. */
export type CreditDelivery = {
	readonly kind: 'delivered' | 'lost' | 'refused';
	/** Messages in the peer's answer. */
	readonly messages: readonly CreditMessage[];
};

/** Sends credit messages to other entries; messages may be lost. */
export type CreditChannel = {
	readonly send: (
		peer: CreditPeer,
		messages: readonly CreditMessage[],
		isLeaving: boolean,
	) => Promise<CreditDelivery>;
	/** Sets the handler of messages; it returns messages for the sender. */
	readonly onMessages: (
		handler: (
			from: CreditPeer,
			messages: readonly CreditMessage[],
			isLeaving: boolean,
		) => readonly CreditMessage[],
	) => void;
};

/** Returns the member name of an incarnation of an entry. */
export const formatMember = (entry: string, incarnation: string): string =>
	`${entry}/${incarnation}`;

const count = z.int().min(0);
const counts = z.record(z.string(), count);

const report = z.strictObject({
	pool: z.string(),
	borrower: z.string(),
	session: count,
	term: z.string(),
	sentAtMs: z.number(),
	echoMs: z.number(),
	carried: counts,
	expired: counts,
	released: counts,
	grantedSeen: count,
	spare: count,
	waitingMs: z.array(count).max(64),
	avoid: z.array(z.string()),
	settleMs: count,
	leaving: z.boolean(),
	followedMs: z.number(),
});

const grant = z.strictObject({
	pool: z.string(),
	borrower: z.string(),
	session: count,
	term: z.string(),
	sentAtMs: z.number(),
	echoMs: z.number(),
	known: z.boolean(),
	leased: z.boolean(),
	granted: counts,
	recalled: counts,
	spareLimit: count,
	urgentMs: z.number(),
});

/** Schema of the parameters of the method `credits`. */
export const creditsSchema: PeerSchema<'credits'> = z.strictObject({
	address: z.string(),
	isLeaving: z.boolean(),
	messages: z.array(
		z.discriminatedUnion('kind', [
			z.strictObject({kind: z.literal('report'), report}),
			z.strictObject({kind: z.literal('grant'), grant}),
		]),
	),
});

/** Later messages replace one that times out. */
const timeoutMs = 500;

/** Creates a credit channel; call before the peer channel starts. */
export const createCreditChannel = (
	peers: Pick<PeerChannel, 'addMethod' | 'call' | 'getAddress'>,
): CreditChannel => ({
	async send({address}, messages, isLeaving) {
		const params = {messages, isLeaving, address: peers.getAddress()};
		const answer = await peers.call(address, 'credits', params, timeoutMs);
		if (answer.ok) {
			return {kind: 'delivered', messages: answer.value.messages};
		}

		const isRefused = answer.error.message.includes('ECONNREFUSED');
		return {kind: isRefused ? 'refused' : 'lost', messages: []};
	},
	onMessages(handler) {
		peers.addMethod('credits', creditsSchema, (params, from) => ({
			messages: handler(
				{
					member: formatMember(from.entry, from.incarnation),
					address: params.address,
				},
				params.messages,
				params.isLeaving,
			),
		}));
	},
});
