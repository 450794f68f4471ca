import * as tap from 'tap';
import {checkSettings, formatFault} from './load-settings.js';

const good = `
[entry]
id = "entry-1"
region = "midlands"
availabilityZone = "midlands-a"
[caller]
address = "127.0.0.1"
port = 8080
[operator]
address = "127.0.0.1"
port = 8081
[platform]
kind = "memory"
`;

const faults: Array<[name: string, text: string, key: string, found: RegExp]> =
	[
		[
			'unknown key',
			`${good}\n[stop]\ndeadline = 5`,
			'stop.deadline',
			/unknown/v,
		],
		[
			'wrong unit',
			`${good}\n[stop]\ndeadlineMs = "5s"`,
			'stop.deadlineMs',
			/5s/v,
		],
		[
			'not whole',
			`${good}\n[stop]\ndeadlineMs = 0.5`,
			'stop.deadlineMs',
			/0\.5/v,
		],
		[
			'no IP',
			good.replace('127.0.0.1', 'localhost'),
			'caller.address',
			/local/v,
		],
		['missing', good.replace('port = 8080', ''), 'caller.port', /nothing/v],
		[
			'impossible combination',
			`${good}\n[stop]\ndeadlineMs = 100\nreadinessDelayMs = 100`,
			'stop.readinessDelayMs',
			/100/v,
		],
		['no TOML', 'x = ', '(file)', /TOML/v],
		[
			'secret',
			`${good}\n[peers]\naddress = "127.0.0.1"\nport = 1\nkeyHex = "hunter2"`,
			'peers.keyHex',
			/not shown/v,
		],
	];

for (const [name, text, key, found] of faults) {
	tap.t.test(`refuses: ${name}`, async (t) => {
		const checked = checkSettings('entry.toml', text);
		t.notOk(checked.ok);
		if (!checked.ok) {
			const [fault] = checked.error;
			t.equal(fault?.key, key);
			t.match(fault?.found, found);
			t.match(fault && formatFault(fault), /^entry\.toml: .+: found .+; .+$/v);
		}
	});
}

tap.t.test('applies defaults', async (t) => {
	const checked = checkSettings('entry.toml', good);
	t.ok(checked.ok && checked.value.stop.deadlineMs > 0);
});
