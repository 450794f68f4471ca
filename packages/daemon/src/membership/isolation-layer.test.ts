/** Guards against calls held, or refused as overloaded, by an isolated entry. */
import * as tap from 'tap';
import type {Call, CallResult} from '../caller/call.js';
import {createIsolationLayer} from './isolation-layer.js';

const answer: CallResult = {
	kind: 'answer',
	status: 200,
	headers: [],
	body: new Uint8Array(),
	executor: 'x',
	attempts: 1,
};

const isolated = {
	kind: 'error',
	error: 'entry-isolated',
	attempts: 0,
	retryAfterMs: 2000,
} as const;

const never = new Promise<boolean>(() => {
	// Stays pending.
});

const cases = [
	{
		name: 'is confirmed',
		mayRoute: true,
		confirm: async () => never,
		result: answer,
	},
	{
		name: 'is confirmed again',
		mayRoute: false,
		confirm: async () => true,
		result: answer,
	},
	{
		name: 'cannot be confirmed',
		mayRoute: false,
		confirm: async () => false,
		result: isolated,
	},
	{
		name: 'is not confirmed before the deadline of the call',
		mayRoute: false,
		confirm: async () => never,
		result: isolated,
	},
];

for (const {name, mayRoute, confirm, result} of cases) {
	tap.t.test(`a call to an entry that ${name}`, async (t) => {
		const layer = createIsolationLayer({
			member: {mayRoute: () => mayRoute, confirm},
			retryAfterMs: 2000,
			now: () => 1000,
		});
		const call = {deadline: 1020} as unknown as Call;
		t.same(await layer(async () => answer)(call), result);
	});
}
