/**
 * Guards against confirmations of the configuration that count from a later
 * moment than the one at which it was certainly the latest.
 */
import * as tap from 'tap';
import {
	createConfigurationConfirmation,
	type ConfirmedVersion,
} from './configuration-confirmation.js';

/** A daemon with version 5 whose peer answers as the test wants. */
const createDaemon = () => {
	const time = {steady: 10_000, wall: 1_000_000};
	const state = {
		storeConfirmedAt: {at: 10_000, epochAt: 1_000_000},
		isReadable: true,
		version: 5,
	};
	const peer: {answer: () => ConfirmedVersion | undefined; asked: number} = {
		answer: () => undefined,
		asked: 0,
	};
	const confirmation = createConfigurationConfirmation({
		getVersion: () => state.version,
		getStoreConfirmedAt: () => state.storeConfirmedAt,
		isReadable: () => state.isReadable,
		async askPeer() {
			peer.asked += 1;
			return peer.answer();
		},
		clock: {now: () => time.steady, epochNow: () => time.wall},
	});
	return {time, state, peer, confirmation};
};

type Daemon = ReturnType<typeof createDaemon>;

const elapse = ({time}: Pick<Daemon, 'time'>, ms: number) => {
	time.steady += ms;
	time.wall += ms;
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly run: (daemon: Daemon) => Promise<void>;
	/** Time since the confirmation, by the steady clock. */
	readonly ageMs: number | undefined;
}> = [
	{
		name: 'by the store, since the read was sent',
		async run(daemon) {
			elapse(daemon, 300);
		},
		ageMs: 300,
	},
	{
		name: 'by the store, not if it holds a newer one that cannot be read',
		async run({state}) {
			state.isReadable = false;
		},
		ageMs: undefined,
	},
	{
		name: 'by a peer, since the question less the age that the peer states',
		async run(daemon) {
			elapse(daemon, 4000);
			daemon.peer.answer = () => {
				elapse(daemon, 50);
				return {version: 5, ageMs: 1000};
			};

			await daemon.confirmation.refresh(1700);
		},
		ageMs: 50 + 1000 * 1.02,
	},
	{
		name: 'by a peer that was paused after it had stated its age',
		async run(daemon) {
			elapse(daemon, 4000);
			daemon.peer.answer = () => {
				const word = {version: 5, ageMs: 0};
				elapse(daemon, 2500);
				return word;
			};

			await daemon.confirmation.refresh(1700);
		},
		ageMs: 2500,
	},
	{
		name: 'by a peer that uses another version: not at all',
		async run(daemon) {
			elapse(daemon, 4000);
			daemon.peer.answer = () => ({version: 7, ageMs: 0});
			await daemon.confirmation.refresh(1700);
		},
		ageMs: 4000,
	},
	{
		name: 'by a peer, for the version that was in use then only',
		async run(daemon) {
			elapse(daemon, 4000);
			daemon.peer.answer = () => ({version: 5, ageMs: 0});
			await daemon.confirmation.refresh(1700);
			daemon.state.version = 6;
		},
		ageMs: 4000,
	},
	{
		name: 'by a peer that was confirmed earlier than this daemon',
		async run(daemon) {
			elapse(daemon, 2000);
			daemon.peer.answer = () => ({version: 5, ageMs: 4000});
			await daemon.confirmation.refresh(1700);
		},
		ageMs: 2000,
	},
];

for (const {name, run, ageMs} of cases) {
	tap.t.test(`confirmed ${name}`, async (t) => {
		const daemon = createDaemon();
		await run(daemon);
		const confirmed = daemon.confirmation.getConfirmedAt();
		t.equal(
			confirmed && Math.round(daemon.time.steady - confirmed.at),
			ageMs === undefined ? undefined : Math.round(ageMs),
		);
	});
}

tap.t.test('a suspension of the asking daemon counts', async (t) => {
	const daemon = createDaemon();
	elapse(daemon, 4000);
	daemon.peer.answer = () => {
		daemon.time.wall += 3000;
		return {version: 5, ageMs: 0};
	};

	await daemon.confirmation.refresh(1700);
	const confirmed = daemon.confirmation.getConfirmedAt();
	t.equal(daemon.time.wall - (confirmed?.epochAt ?? 0), 3000);
});

tap.t.test(
	'a peer is asked only once the store fails to confirm',
	async (t) => {
		const daemon = createDaemon();
		elapse(daemon, 1600);
		await daemon.confirmation.refresh(1700);
		t.equal(daemon.peer.asked, 0);
		elapse(daemon, 200);
		await daemon.confirmation.refresh(1700);
		t.equal(daemon.peer.asked, 1);
	},
);

tap.t.test('what a peer told is not handed on', async (t) => {
	const daemon = createDaemon();
	elapse(daemon, 4000);
	daemon.peer.answer = () => ({version: 5, ageMs: 0});
	await daemon.confirmation.refresh(1700);
	t.same(daemon.confirmation.describe(), {version: 5, ageMs: 4000});
});
