/**
 * Guards against a request that was written, and whose connection broke later,
 * being taken for one that was never sent: its caller would repeat it.
 */
import * as tap from 'tap';
import * as undici from 'undici';
import {exchange, timeoutKinds} from './exchange.js';

const codes = [
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
	'ECONNRESET',
] as const;

const controller: undici.Dispatcher.DispatchController = {
	aborted: false,
	paused: false,
	reason: null,
	abort: () => undefined,
	pause: () => undefined,
	resume: () => undefined,
};

/** Fails each request, either before or after it has begun to write it. */
class FailingDispatcher extends undici.Dispatcher {
	constructor(
		private readonly code: string,
		private readonly isBegun: boolean,
	) {
		super();
	}

	override dispatch(
		_options: undici.Dispatcher.DispatchOptions,
		handler: undici.Dispatcher.DispatchHandler,
	): boolean {
		if (this.isBegun) {
			handler.onRequestStart?.(controller, {});
		}

		const err = Object.assign(new Error(this.code), {code: this.code});
		handler.onResponseError?.(controller, err);
		return true;
	}
}

const cases = [
	{name: 'before it was written', isBegun: false, kind: 'unavailable'},
	{name: 'after it was written', isBegun: true, kind: 'timeout'},
] as const;

for (const {name, isBegun, kind} of cases) {
	for (const code of codes) {
		tap.t.test(`${code} ${name}`, async (t) => {
			const result = await exchange(
				new FailingDispatcher(code, isBegun),
				{method: 'POST', path: '/one', body: '{}'},
				1000,
				timeoutKinds.whole,
			);
			t.same(result, {ok: false, error: {kind}});
		});
	}
}
