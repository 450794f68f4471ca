import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {watchStore} from './store-health.js';

const range = {table: 't', part: ''};

type Step = ports.StoreFault | 'answered';

const cases: ReadonlyArray<
	readonly [name: string, steps: readonly Step[], isSuspect: boolean]
> = [
	['before any call', [], false],
	['an answer', ['answered'], false],
	['no answer', ['lost-before'], true],
	['an answer after none', ['lost-before', 'answered'], false],
	['a refusal says nothing', ['lost-after', 'unavailable'], true],
	['a refusal alone', ['unavailable'], false],
	['none after an answer', ['answered', 'lost-after'], true],
];

for (const [name, steps, isSuspect] of cases) {
	tap.t.test(`a store: ${name}`, async (t) => {
		const inner = ports.createMemoryRowStore();
		let at = 0;
		const watched = watchStore(inner, () => at);
		for (const step of steps) {
			at += 10;
			inner.setFault(() => (step === 'answered' ? undefined : step));
			await watched.store.read(range, 10);
		}

		t.equal(watched.isUnresponsive(), isSuspect);
	});
}
