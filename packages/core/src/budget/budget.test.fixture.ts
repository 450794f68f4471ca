/** Instances and proofs that tests of budgets share. */
import type {Instance} from '../types/instance.js';
import type {ReturnEvidence} from './return-instance.js';

/** An executor; its zone follows from the last letter of its id. */
export const createInstance = (
	id: string,
	pool = 'quote',
	state: Instance['state'] = 'serving',
): Instance => ({
	id,
	pool,
	state,
	kind: 'executor',
	address: '127.0.0.1:1',
	epoch: 1,
	region: 'midlands',
	availabilityZone: `az${id.at(-1)}`,
	rack: `r${id}`,
});

/** Five executors. */
export const ids = ['i0', 'i1', 'i2', 'i3', 'i4'];

/** All that an instance must show to be given back. */
export const returnEvidence: ReturnEvidence = {
	listed: 'live',
	incarnationBefore: 'a',
	incarnation: 'b',
	probesPassed: 3,
};
