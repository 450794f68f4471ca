import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {watchStore} from './store-health.js';

const range = {table: 't', part: ''};

type Step = ports.StoreFault | 'answered';

const cases: ReadonlyArray<
	readonly [name: string, steps: readonly Step[], isUnresponsive: boolean]
> = [
	['before any call', [], false],
	['an answer', ['answered'], false],
	['no answer', ['lost-before'], true],
	['an answer after no answer', ['lost-before', 'answered'], false],
	['a refusal after no answer', ['lost-after', 'unavailable'], true],
	['a refusal alone', ['unavailable'], false],
	['no answer after an answer', ['answered', 'lost-after'], true],
];

for (const [name, steps, isUnresponsive] of cases) {
	tap.t.test(`a store: ${name}`, async (t) => {
		const inner = ports.createMemoryRowStore();
		let at = 0;
		const watched = watchStore(inner, () => at);
		for (const step of steps) {
			at += 10;
			inner.setFault(() => (step === 'answered' ? undefined : step));
			await watched.store.read(range, 10);
		}

		t.equal(watched.isUnresponsive(), isUnresponsive);
	});
}

const commitCases: ReadonlyArray<readonly [name: string, step: Step]> = [
	['with an answer', 'answered'],
	['that was refused', 'unavailable'],
	['without an answer', 'lost-after'],
];

for (const [name, step] of commitCases) {
	tap.t.test(`a commit ${name}`, async (t) => {
		const inner = ports.createMemoryRowStore();
		const watched = watchStore(inner, () => 10);
		inner.setFault(() => (step === 'answered' ? undefined : step));
		await watched.store.transact({checks: [], puts: [], removes: []}, 10);
		const isUnanswered = watched.getUnansweredCommitAt() === 10;
		t.equal(isUnanswered, step === 'lost-after');
	});
}
