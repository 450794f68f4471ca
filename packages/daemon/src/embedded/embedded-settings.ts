/** Settings of an embedded daemon, which listens on the loopback address. */
import {hashToken} from '../caller/parse-call.js';
import {settingsSchema, type Settings} from '../settings/schema.js';

/** Operator token of an embedded daemon; it listens on loopback only. */
export const embeddedOperatorToken = 'demo-operator-token';

/** Creates settings for `gullstandd --embedded`; port 0 picks a free port. */
export const createEmbeddedSettings = (
	callerPort = 0,
	operatorPort = 0,
	level: Settings['log']['level'] = 'info',
): Settings =>
	settingsSchema.parse({
		entry: {id: 'embedded', region: 'local', availabilityZone: 'zone-1'},
		caller: {address: '127.0.0.1', port: callerPort},
		operator: {
			address: '127.0.0.1',
			port: operatorPort,
			tokens: [
				{
					name: 'demo',
					sha256: hashToken(embeddedOperatorToken),
					role: 'change',
				},
			],
		},
		platform: {kind: 'memory'},
		stop: {deadlineMs: 5000, readinessDelayMs: 0},
		log: {level},
	});
