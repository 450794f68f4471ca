/** Authenticates callers by the keys of their teams. */
import {
	fail,
	succeed,
	teams,
	type errors,
	type Result,
	type scheduler,
} from '@gullstand/core';
import type {QueueRoute} from '@gullstand/ports';
import {match} from 'ts-pattern';
import {hashToken, readBearerToken} from '../../caller/parse-call.js';
import {getMaxElapsedMs, type Clock, type Moment} from '../clock.js';
import type {Routes} from './routes.js';

/** Who makes a call. */
export type Caller =
	/** An operator, or anybody on a queue that needs no key. */
	| {readonly kind: 'any'}
	| {
			readonly kind: 'team';
			readonly team: string;
			readonly keyHash: string;
	  };

/** A caller who may see and cancel the jobs of all teams. */
export const anyCaller: Caller = {kind: 'any'};

export type CallerAccessDeps = {
	readonly routes: Pick<Routes, 'get' | 'findTeamByKeyHash'>;
	/** When the configuration in use was last certainly the latest. */
	readonly getConfirmedAt: () => Moment | undefined;
	readonly clock: Clock;
	readonly policy: teams.KeyPolicy;
};

export type CallerAccess = {
	/**
	 * Authenticates a call on a queue by its `Authorization` field. A queue that
	 * needs no key does not look at one.
	 */
	readonly authenticate: (
		route: QueueRoute,
		authorization: string | undefined,
	) => Result<Caller, errors.ErrorKind>;
	/** Checks again that a caller may be served. */
	readonly verify: (caller: Caller) => Result<Caller, errors.ErrorKind>;
	/** Whether calls with keys can be judged now. */
	readonly canJudge: () => boolean;
};

/** Whether a caller may see a job; jobs without a team are everybody's. */
export const maySeeJob = (
	caller: Caller,
	{team}: Pick<scheduler.AcceptedJob, 'team'>,
): boolean =>
	caller.kind === 'any' || team === undefined || team === caller.team;

/** SHA-256 of a key in hexadecimal, in which form keys are held. */
export const hashKey = hashToken;

export const createCallerAccess = (deps: CallerAccessDeps): CallerAccess => {
	const {routes, clock, policy} = deps;

	const getConfirmedAgeMs = (): number | undefined => {
		const confirmed = deps.getConfirmedAt();
		return confirmed && getMaxElapsedMs(clock, confirmed);
	};

	const judge = (
		keyHash: string | undefined,
	): Result<Caller, errors.ErrorKind> => {
		const team =
			keyHash === undefined ? undefined : routes.findTeamByKeyHash(keyHash);
		const verdict = teams.judgeKey(
			{isListed: team !== undefined, confirmedAgeMs: getConfirmedAgeMs()},
			policy,
		);
		return match(verdict)
			.returnType<Result<Caller, errors.ErrorKind>>()
			.with('valid', () =>
				succeed({kind: 'team', team: team?.name ?? '', keyHash: keyHash ?? ''}),
			)
			.with('invalid', () => fail('unauthenticated'))
			.with('unconfirmed', () => fail('configuration-unconfirmed'))
			.exhaustive();
	};

	return {
		authenticate(route, authorization) {
			if (routes.get()?.teams === undefined || route.isPublic) {
				return succeed(anyCaller);
			}

			const key = readBearerToken(authorization);
			return judge(key === undefined ? undefined : hashKey(key));
		},
		verify(caller) {
			if (caller.kind === 'any') {
				return succeed(caller);
			}

			const judged = judge(caller.keyHash);
			const isSameTeam =
				judged.ok &&
				judged.value.kind === 'team' &&
				judged.value.team === caller.team;
			return judged.ok && !isSameTeam ? fail('unauthenticated') : judged;
		},
		canJudge: () =>
			routes.get()?.teams === undefined ||
			teams.judgeKey(
				{isListed: true, confirmedAgeMs: getConfirmedAgeMs()},
				policy,
			) === 'valid',
	};
};
