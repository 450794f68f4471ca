/**
 * Guards against a pause of all entries of one isolation time, during an outage
 * of the table service, refusing every call until the service is back.
 */
import {setTimeout as wait} from 'node:timers/promises';
import * as tap from 'tap';
import {call, now, startFleet, times, waitUntil} from './fleet.test.fixture.js';

const isolationMs = 500;

const shortTimes = {
	...times,
	leaseMs: 600,
	membership: {
		isolationMs,
		listLagMs: 100,
		stallMarginMs: 400,
		longestRequestMs: 1000,
		forgetAfterMs: 2500,
	},
};

/** Blocks the event loop, and so all entries of this process. */
const pauseAll = (ms: number) => {
	const end = now() + ms;
	while (now() < end) {
		// Nothing else runs.
	}
};

/** Three entries and one that has started in the outage, all without store. */
const startOutage = async (t: tap.Test) => {
	const fleet = await startFleet(t, shortTimes);
	const late = await fleet.startEntry('e4');
	await waitUntil(() =>
		fleet.entries.every(
			({daemon}) =>
				daemon.agreement.member.getMembers().registrations.size === 3,
		),
	);
	await wait(2 * times.heartbeatMs);
	const all = [...fleet.entries, late];
	for (const {cut} of all) {
		cut.isCut = true;
	}

	await fleet.run(late);
	return {list: fleet.list, all};
};

for (const hasList of [true, false]) {
	const name = hasList ? 'the list' : 'each other';
	tap.t.test(
		`entries confirmed by ${name} serve after a pause of all`,
		async (t) => {
			const {list, all} = await startOutage(t);
			for (const {id} of hasList ? [] : all) {
				list.remove(id);
			}

			for (let round = 0; round < 3; round++) {
				await wait(isolationMs / 2);
				pauseAll(1.2 * isolationMs);
				for (const {daemon} of all) {
					t.notOk(
						round === 0 && daemon.agreement.member.mayRoute(),
						'isolated by the pause',
					);
				}

				const answers = await Promise.all(
					all.map(async ({daemon}) => call(daemon, 'quote')),
				);
				for (const answer of answers) {
					t.same(answer, {status: 200, text: 'quote'});
				}
			}
		},
	);
}

tap.t.test(
	'entries that others may have removed stay isolated, and say so at once',
	async (t) => {
		const {all} = await startOutage(t);
		pauseAll(shortTimes.membership.forgetAfterMs);
		const [first] = all;
		const askedAt = now();
		const answer = await call(first!.daemon, 'quote');
		t.equal(answer.status, 503);
		t.match(answer.text, 'entry-isolated');
		t.ok(now() - askedAt < times.callTimeoutMs, 'not held');
		for (const {cut} of all) {
			cut.isCut = false;
		}

		await waitUntil(() => first!.daemon.agreement.member.mayRoute());
		t.match(await call(first!.daemon, 'quote'), {status: 200});
	},
);
