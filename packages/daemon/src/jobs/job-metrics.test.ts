import * as tap from 'tap';
import {createJobMetrics} from './job-metrics.js';

const cases: ReadonlyArray<{
	readonly name: string;
	readonly value: number | undefined;
	readonly text: string;
}> = [
	{name: 'a value', value: 7, text: 'gullstand_age_ms{label="x"} 7\n'},
	{name: 'no value yet', value: undefined, text: '\n'},
];

for (const {name, value, text} of cases) {
	tap.t.test(`a gauge shows ${name} at the time of the request`, async (t) => {
		const metrics = createJobMetrics();
		const state: {value: number | undefined} = {value: undefined};
		metrics.registerGauge('age_ms', 'x', () => state.value);
		state.value = value;
		t.equal(metrics.formatText(), text);
	});
}
