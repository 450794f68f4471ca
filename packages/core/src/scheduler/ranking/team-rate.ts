/**
 * Marks jobs that a team submits beyond the rate that it is owed, so that they
 * do not delay the jobs of others. Each service counts by itself, so that a
 * team may use its whole rate in any queue.
 */
import {
	createTokenBucket,
	refillTokens,
	updateTokenBucket,
} from '../../admission/token-bucket.js';
import type {Owner} from '../state/owner-state.js';
import type {Job} from '../state/task.js';

const msPerSecond = 1000;

/** Seconds of its rate that a team may submit at once. */
const burstSeconds = 3;

/** Jobs that any team may submit at once. */
const minBurst = 4;

/** Counts a job that was submitted now, and marks it if it is beyond the rate. */
export const recordTeamArrival = (
	owner: Owner,
	job: Job,
	now: number,
): void => {
	const {team} = job.accepted;
	const weight = team === undefined ? undefined : owner.teamWeights.get(team);
	if (team === undefined || weight === undefined || weight <= 0) {
		return;
	}

	const depth = Math.max(minBurst, weight * burstSeconds);
	const tokensPerMs = weight / msPerSecond;
	const bucket =
		owner.teamRates.get(team) ?? createTokenBucket(depth, tokensPerMs, now);
	owner.teamRates.set(team, bucket);
	updateTokenBucket(bucket, depth, tokensPerMs, now);
	job.isBeyondRate = refillTokens(bucket, now) < 1;
	bucket.tokens -= job.isBeyondRate ? 0 : 1;
};

/** What is left of a team's rate at a time; times are monotonic. */
export type TeamRate = {
	readonly tokens: number;
	readonly depth: number;
	readonly tokensPerMs: number;
	readonly at: number;
};

/** Describes the rates of the teams that have submitted jobs; charges none. */
export const describeTeamRates = (
	{teamRates}: Owner,
	now: number,
): ReadonlyMap<string, TeamRate> =>
	new Map(
		[...teamRates].map(([team, {tokens, depth, tokensPerMs, refilledAt}]) => [
			team,
			{
				tokens: Math.min(depth, tokens + (now - refilledAt) * tokensPerMs),
				depth,
				tokensPerMs,
				at: now,
			},
		]),
	);
