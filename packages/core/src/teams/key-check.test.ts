/** Guards against keys that are accepted or rejected on outdated knowledge. */
import * as tap from 'tap';
import * as teams from './index.js';

const policy: teams.KeyPolicy = {
	revocationMs: 5000,
	configurationApplyMs: 3000,
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly key: teams.KnownKey;
	readonly policy?: teams.KeyPolicy;
	readonly verdict: teams.KeyVerdict;
}> = [
	{
		name: 'a listed key, confirmed just now',
		key: {isListed: true, confirmedAgeMs: 0},
		verdict: 'valid',
	},
	{
		name: 'a listed key, confirmed within the bound by a slow clock',
		key: {isListed: true, confirmedAgeMs: 4900},
		verdict: 'valid',
	},
	{
		name: 'a listed key, confirmed too long ago if the clock is slow',
		key: {isListed: true, confirmedAgeMs: 4902},
		verdict: 'unconfirmed',
	},
	{
		name: 'a listed key, never confirmed',
		key: {isListed: true, confirmedAgeMs: undefined},
		verdict: 'unconfirmed',
	},
	{
		name: 'a listed key where removals have no bound',
		key: {isListed: true, confirmedAgeMs: undefined},
		policy: {...policy, revocationMs: undefined},
		verdict: 'valid',
	},
	{
		name: 'an unknown key',
		key: {isListed: false, confirmedAgeMs: 2900},
		verdict: 'invalid',
	},
	{
		name: 'an unknown key that may have been added since',
		key: {isListed: false, confirmedAgeMs: 2942},
		verdict: 'unconfirmed',
	},
	{
		name: 'an unknown key before anything was confirmed',
		key: {isListed: false, confirmedAgeMs: undefined},
		verdict: 'unconfirmed',
	},
];

for (const {name, key, policy: used = policy, verdict} of cases) {
	tap.t.test(name, async (t) => {
		t.equal(teams.judgeKey(key, used), verdict);
	});
}
