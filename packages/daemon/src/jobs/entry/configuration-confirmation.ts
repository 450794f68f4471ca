/**
 * Knows since when the configuration in use was certainly the latest: by the
 * last read of the store, or by the word of another daemon that reads it. Each
 * moment is when a question was sent, as the configuration may change while its
 * answer is under way. See docs/design/teams.md.
 */
import {scheduler} from '@gullstand/core';
import {getMaxElapsedMs, getMoment, type Clock, type Moment} from '../clock.js';

/** What a daemon knows of its configuration, at the moment it is asked. */
export type ConfirmedVersion = {
	readonly version: number;
	/** Time since the version was certainly the latest, in milliseconds. */
	readonly ageMs: number;
};

export type ConfigurationConfirmationDeps = {
	/** Version of the configuration in use. */
	readonly getVersion: () => number | undefined;
	/** When the last successful read of the store was sent. */
	readonly getStoreConfirmedAt: () => Moment | undefined;
	/** Whether the latest configuration in the store could be read. */
	readonly isReadable: () => boolean;
	/** Asks another daemon; absent if none answers or knows. */
	readonly askPeer: () => Promise<ConfirmedVersion | undefined>;
	readonly clock: Clock;
};

export type ConfigurationConfirmation = {
	readonly getConfirmedAt: () => Moment | undefined;
	/** What the store told this daemon, for others. */
	readonly describe: () => ConfirmedVersion | undefined;
	/** Asks another daemon if the store has not confirmed for `ms`. */
	readonly refresh: (ms: number) => Promise<void>;
};

/** The moment `ms` milliseconds before another. */
const subtract = ({at, epochAt}: Moment, ms: number): Moment => ({
	at: at - ms,
	epochAt: epochAt - ms,
});

export const createConfigurationConfirmation = (
	deps: ConfigurationConfirmationDeps,
): ConfigurationConfirmation => {
	const {clock} = deps;
	let peerWord: {version: number; moment: Moment} | undefined;
	let isAsking = false;

	const getStoreConfirmedAt = (): Moment | undefined =>
		deps.isReadable() ? deps.getStoreConfirmedAt() : undefined;

	const getAgeMs = (moment: Moment | undefined): number =>
		moment ? getMaxElapsedMs(clock, moment) : Number.POSITIVE_INFINITY;

	const ask = async () => {
		const sent = getMoment(clock);
		const word = await deps.askPeer();
		if (!word) {
			return;
		}

		// The peer stated its age after `sent`, and its clock may be slow.
		const ageMs = word.ageMs * (1 + scheduler.maxClockDrift);
		peerWord = {version: word.version, moment: subtract(sent, ageMs)};
	};

	return {
		getConfirmedAt() {
			const fromStore = getStoreConfirmedAt();
			const fromPeer =
				peerWord && peerWord.version === deps.getVersion()
					? peerWord.moment
					: undefined;
			return getAgeMs(fromPeer) < getAgeMs(fromStore) ? fromPeer : fromStore;
		},
		describe() {
			const version = deps.getVersion();
			const confirmed = getStoreConfirmedAt();
			return version === undefined || confirmed === undefined
				? undefined
				: {version, ageMs: getMaxElapsedMs(clock, confirmed)};
		},
		async refresh(ms) {
			if (isAsking || getAgeMs(getStoreConfirmedAt()) < ms) {
				return;
			}

			isAsking = true;
			try {
				await ask();
			} finally {
				isAsking = false;
			}
		},
	};
};
