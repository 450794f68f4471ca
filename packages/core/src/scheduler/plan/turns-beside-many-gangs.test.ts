/**
 * Guards against requests to evacuate that take seconds in a service with many
 * gangs, each of which was tried on all executors.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
} from '../owner.test.fixture.js';

const gang = {count: 4, isGang: true, needsSameRack: true};

/** How often an executor is looked at for one request beside gangs. */
const countLooks = (gangs: number): number => {
	const owner = createTestOwner(
		Array.from({length: 20}, (_, index) => createListed(`e${index}`)),
	);
	for (let index = 0; index < gangs; index += 1) {
		scheduler.addJob(owner, createAccepted(`g${index}`, [gang]), false, 0);
	}

	scheduler.advanceSchedules(owner, 0);
	const executor = owner.executors.get('e9')!;
	const {listed} = executor;
	let looks = 0;
	Object.defineProperty(executor, 'listed', {
		get() {
			looks += 1;
			return listed;
		},
	});
	scheduler.requestEvacuation(owner, 'e0', {patienceMs: 0}, 10);
	return looks;
};

for (const gangs of [2, 50]) {
	tap.t.test(`a request beside ${gangs} gangs that are alike`, async (t) => {
		t.equal(countLooks(gangs), countLooks(1), 'they are tried as one');
	});
}
