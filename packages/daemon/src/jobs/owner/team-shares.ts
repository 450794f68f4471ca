/**
 * Holds this service's shares of the teams' caps. Each team has one row with
 * the shares of all services; every write checks its version. A write without
 * an answer may still take effect, so until the row has changed the smallest of
 * the shares that it may hold counts. Source: docs/design/teams.md.
 */
import {scheduler, teams} from '@gullstand/core';
import type {
	ChangedRow,
	RowPut,
	RowStore,
	RowStoreError,
} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {periods} from '../periods.js';
import {decodeRow, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

export type TeamSharesDeps = {
	readonly store: RowStore;
	readonly held: Pick<HeldShard, 'shard' | 'token'>;
	readonly owner: scheduler.Owner;
	/** Whether the deployment has teams. */
	readonly hasTeams: () => boolean;
	/** Cap of a team; absent if it is not known or has none. */
	readonly getCap: (team: string) => scheduler.Resources | undefined;
	/** Jobs per second that a team is owed; absent if it is not known. */
	readonly getWeight: (team: string) => number | undefined;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called when more may start. */
	readonly onGrown: () => void;
	/** Called with an exception, which ends the writes. */
	readonly reportFailure: ReportFailure;
};

/** What one owner holds and needs of a team's cap, for operators. */
export type TeamShareStatus = {
	readonly team: string;
	readonly cap: scheduler.Resources;
	readonly share: scheduler.Resources;
	readonly used: scheduler.Resources;
	readonly waiting: scheduler.Resources;
	readonly isOverCap: boolean;
};

/** The shares of one owner. */
export type TeamShares = {
	/** Sets the limits of the teams that have jobs, before a plan. */
	readonly prepare: () => void;
	/** Compares shares with needs and writes those that must change. */
	readonly update: () => void;
	/** Applies a row that the store shows. */
	readonly applyRow: (row: ChangedRow) => void;
	readonly describe: () => readonly TeamShareStatus[];
	readonly stop: () => void;
};

const shareKey = 'shares';

const resourcesSchema = z.object({
	cpuMillis: z.number(),
	memoryMb: z.number(),
	accelerators: z.number(),
});

const rowSchema: z.ZodType<Omit<teams.CapRow, 'version'>> = z.object({
	cap: resourcesSchema,
	shares: z.record(
		z.string(),
		z.object({
			token: z.int(),
			share: resourcesSchema,
			lacking: resourcesSchema,
			largest: resourcesSchema,
			lackingSince: z.number(),
			usedWhenGranted: resourcesSchema.optional(),
		}),
	),
});

/** Key of the row of a team; a part of its own, as parts commit serially. */
const getRowKey = (team: string) => ({
	table: tables.teamShare,
	part: `team/${team}`,
	key: shareKey,
});

const partPrefix = 'team/';

/** The row of a team as last seen, and writes that may still change it. */
type TeamState = {
	row: teams.CapRow;
	/** Shares that writes without a definite answer may have stored. */
	possible: scheduler.Resources[];
	/** Grows with each change of the row or the possible shares. */
	changes: number;
	isWriting: boolean;
	/** No write before this time. */
	retryAt: number;
	writtenAt: number;
};

/** Pause after a write that failed, and between writes of one row. */
const writePauseMs = 15;

/** The same while the shares exceed the cap: each task that ends changes one. */
const overCapPauseMs = 100;

/** A lack that nobody has met is written again, in case nobody has seen it. */
const repeatMs = 500;

/** Shortest time between two comparisons of shares with needs. */
const updatePauseMs = 40;

export const createTeamShares = (deps: TeamSharesDeps): TeamShares => {
	const {store, held, owner, logger, now} = deps;
	const states = new Map<string, TeamState>();
	const state = {isStopped: false};
	let timer: NodeJS.Timeout | undefined;
	let updatedAt = Number.NEGATIVE_INFINITY;
	let needs: ReadonlyMap<string, teams.CapNeed> = new Map();

	const getState = (team: string): TeamState => {
		const known = states.get(team) ?? {
			row: teams.emptyCapRow,
			possible: [],
			changes: 0,
			isWriting: false,
			retryAt: 0,
			writtenAt: Number.NEGATIVE_INFINITY,
		};
		states.set(team, known);
		return known;
	};

	/** What certainly is this owner's, whichever write has taken effect. */
	const getCertainShare = ({
		row: {shares},
		possible,
	}: TeamState): scheduler.Resources => {
		const own = shares[held.shard];
		if (own?.token !== held.token) {
			return teams.noResources;
		}

		let least = own.share;
		for (const each of possible) {
			least = teams.minResources(least, each);
		}

		return least;
	};

	const refreshWeight = (team: string) => {
		const weight = deps.getWeight(team);
		if (weight !== undefined) {
			owner.teamWeights.set(team, weight);
		}
	};

	/** Limits by team, and what they were computed from. */
	const computedFrom = new Map<
		string,
		{readonly cap: scheduler.Resources; readonly changes: number}
	>();

	/** Computes the limit of a team anew if something has changed. */
	const refreshLimit = (team: string) => {
		refreshWeight(team);
		const cap = deps.getCap(team);
		if (!cap || !teams.isCapped(cap)) {
			owner.capLimits.delete(team);
			computedFrom.delete(team);
			return;
		}

		const known = getState(team);
		const last = computedFrom.get(team);
		if (last?.cap === cap && last.changes === known.changes) {
			return;
		}

		computedFrom.set(team, {cap, changes: known.changes});
		owner.capLimits.set(team, {
			cap,
			share: teams.getUsableShare(known.row, cap, held, getCertainShare(known)),
			isOverCap:
				teams.isOverCap(known.row, cap) || !teams.isCapAdopted(known.row, cap),
		});
	};

	const applySeen = (team: string, row: teams.CapRow) => {
		const known = getState(team);
		if (row.version <= known.row.version) {
			return;
		}

		// A write that checked an older version can no longer take effect.
		known.possible = [];
		known.row = row;
		known.changes += 1;
		refreshLimit(team);
	};

	const applyRow: TeamShares['applyRow'] = ({part, key, version, value}) => {
		if (!part.startsWith(partPrefix) || key !== shareKey) {
			return;
		}

		const team = part.slice(partPrefix.length);
		const decoded =
			value === undefined ? undefined : decodeRow(rowSchema, value);
		if (decoded && !decoded.ok) {
			// Only owners write these rows; the next write replaces it.
			logger.warn('row skipped', {
				table: tables.teamShare,
				key: part,
				...decoded.error,
			});
		}

		applySeen(team, {
			...teams.emptyCapRow,
			...(decoded?.ok && decoded.value),
			version,
		});
		update();
	};

	const applyFailure = (
		team: string,
		proposed: scheduler.Resources,
		error: RowStoreError,
	) => {
		const known = getState(team);
		if (error.kind !== 'timeout') {
			known.possible = known.possible.filter((each) => each !== proposed);
			known.changes += 1;
		}

		if (error.kind === 'conflict') {
			const row = error.rows.find(({table}) => table === tables.teamShare);
			if (row) {
				applyRow(row);
			}

			return;
		}

		known.retryAt = now() + periods.flushRetryMs;
	};

	const write = async (
		team: string,
		cap: scheduler.Resources,
		next: teams.CapShare,
	) => {
		const known = getState(team);
		const {version} = known.row;
		const row = {cap, shares: {...known.row.shares, [held.shard]: next}};
		const put: RowPut = {...getRowKey(team), value: JSON.stringify(row)};
		known.isWriting = true;
		known.possible.push(next.share);
		known.changes += 1;
		known.writtenAt = now();
		known.retryAt =
			now() + (teams.isOverCap(known.row, cap) ? overCapPauseMs : writePauseMs);
		refreshLimit(team);
		const result = await store.transact(
			{checks: [{...getRowKey(team), version}], puts: [put], removes: []},
			periods.storeTimeoutMs,
		);
		known.isWriting = false;
		logger.info('team share', {
			team,
			share: next.share,
			lacking: next.lacking,
			outcome: result.ok ? 'stored' : result.error.kind,
		});
		if (result.ok) {
			applySeen(team, {...row, version: result.value.version});
		} else {
			applyFailure(team, next.share, result.error);
		}

		refreshLimit(team);
		if (!state.isStopped) {
			deps.onGrown();
		}
	};

	const updateTeam = (team: string) => {
		refreshLimit(team);
		const cap = deps.getCap(team);
		const known = getState(team);
		if (!cap || !teams.isCapped(cap) || known.isWriting) {
			return;
		}

		const need = needs.get(team) ?? {
			used: teams.noResources,
			waiting: teams.noResources,
			largest: teams.noResources,
		};
		if (teams.isSettled(known.row, cap, held, need)) {
			return;
		}

		const next = teams.planShare(known.row, cap, held, need);
		if (!next) {
			return;
		}

		const mustRepeat =
			teams.isLacking(next) && now() - known.writtenAt >= repeatMs;
		const isDue = teams.needsWrite(known.row, held, next, {...need, cap});
		if (!mustRepeat && !isDue) {
			return;
		}

		if (now() >= known.retryAt) {
			runInBackground(async () => write(team, cap, next), deps.reportFailure);
		} else {
			scheduleUpdate(known.retryAt - now());
		}
	};

	const scheduleUpdate = (ms: number) => {
		timer ??= setTimeout(() => {
			timer = undefined;
			runInBackground(async () => {
				update();
			}, deps.reportFailure);
		}, ms);
	};

	const update = () => {
		if (state.isStopped || !deps.hasTeams()) {
			return;
		}

		const sinceMs = now() - updatedAt;
		if (sinceMs < updatePauseMs) {
			scheduleUpdate(updatePauseMs - sinceMs);
			return;
		}

		updatedAt = now();
		needs = scheduler.computeTeamNeeds(owner);
		for (const team of new Set([...needs.keys(), ...states.keys()])) {
			updateTeam(team);
		}
	};

	return {
		prepare() {
			if (!deps.hasTeams()) {
				return;
			}

			for (const {accepted} of owner.openJobs) {
				if (accepted.team !== undefined) {
					getState(accepted.team);
				}
			}

			for (const team of states.keys()) {
				refreshLimit(team);
			}
		},
		update,
		applyRow,
		describe: () =>
			[...owner.capLimits].map(([team, {cap, share, isOverCap}]) => ({
				team,
				cap,
				share,
				isOverCap,
				used: needs.get(team)?.used ?? teams.noResources,
				waiting: needs.get(team)?.waiting ?? teams.noResources,
			})),
		stop() {
			state.isStopped = true;
			clearTimeout(timer);
		},
	};
};
