/**
 * Guards against requests to evacuate that lose their terms on the way to the
 * owner at another daemon.
 */
import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {jobPeerSchemas} from './peer-methods.js';

const request = {
	shard: 'service/s',
	executorId: 'x',
	patienceMs: 1400,
	claimant: 'wave 1',
	order: {token: 1, at: 2},
};

const cases = [
	{
		name: 'of an older release',
		sent: {shard: 's', executorId: 'x', patienceMs: 0},
	},
	...Object.values(scheduler.evacuationUrgencies).map((urgency) => ({
		name: urgency,
		sent: {...request, urgency},
	})),
];

for (const {name, sent} of cases) {
	tap.t.test(`a request to evacuate arrives whole: ${name}`, async (t) => {
		t.same(jobPeerSchemas.evacuate.parse(sent), sent);
	});
}
