/** Answers authenticated JSON-RPC 2.0 calls of other entries. */
import {Buffer} from 'node:buffer';
import type {HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import {JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import VError from 'verror';
import {createByteBudget} from '../http/byte-budget.js';
import {readBody} from '../http/read-body.js';
import {
	checkCall,
	createNonceWindow,
	peerHeaders,
	signAnswer,
	type EnvelopeRefusal,
} from './envelope.js';
import type {
	PeerHandler,
	PeerIdentity,
	PeerMethod,
	PeerSchema,
} from './peer-methods.js';

/** Dependencies of a peer server. */
export type PeerServerDeps = {
	readonly key: Buffer;
	/** Address and port that peers send to. */
	readonly getAddress: () => string;
	readonly wallNow: () => number;
	readonly maxBodyBytes: number;
	readonly maxClockSkewMs: number;
	readonly onRefused: (reason: EnvelopeRefusal) => void;
};

/** A peer server: an HTTP handler and its methods. */
export type PeerServer = {
	readonly app: Hono<{Bindings: HttpBindings}>;
	readonly addMethod: <Method extends PeerMethod>(
		method: Method,
		schema: PeerSchema<Method>,
		handler: PeerHandler<Method>,
	) => void;
};

const maxBufferedBodies = 32;

/** URL path of the peer channel. */
export const peerPath = '/peer';

export const createPeerServer = (deps: PeerServerDeps): PeerServer => {
	const {key, maxClockSkewMs} = deps;
	const rpc = new JSONRPCServer<PeerIdentity>({errorListener: () => undefined});
	const nonces = createNonceWindow(maxClockSkewMs);
	const bodyBudget = createByteBudget(deps.maxBodyBytes * maxBufferedBodies);
	const app = new Hono<{Bindings: HttpBindings}>();

	app.post(peerPath, async (c) => {
		const reservation = bodyBudget.open();
		c.env.outgoing.once('close', reservation.release);
		const body = await readBody(c.env.incoming, deps.maxBodyBytes, reservation);
		if (!body.ok) {
			return c.body(null, 413);
		}

		const text = Buffer.from(body.value).toString('utf8');
		const header = (name: keyof typeof peerHeaders) =>
			c.req.header(peerHeaders[name]) ?? '';
		const call = {
			entry: header('entry'),
			incarnation: header('incarnation'),
			to: deps.getAddress(),
			time: Number(header('time') || Number.NaN),
			nonce: header('nonce'),
			signature: header('signature'),
		};
		const refusal = checkCall(
			{key, nonces, maxClockSkewMs},
			call,
			text,
			deps.wallNow(),
		);
		if (refusal) {
			deps.onRefused(refusal);
			return c.body(null, 401);
		}

		const {entry, incarnation} = call;
		const answer = await rpc.receiveJSON(text, {entry, incarnation});
		const answerText = JSON.stringify(answer);
		c.header(peerHeaders.signature, signAnswer(key, call.nonce, answerText));
		return c.body(answerText, 200, {'content-type': 'application/json'});
	});

	return {
		app,
		addMethod(method, schema, handler) {
			rpc.addMethod(
				method,
				async (params: JSONRPCRequest['params'], from: PeerIdentity) => {
					const parsed = schema.safeParse(params);
					if (!parsed.success) {
						throw new VError(parsed.error, `${method}: malformed parameters`);
					}

					return handler(parsed.data, from);
				},
			);
		},
	};
};
