/**
 * State transitions of an instance. Each increments the epoch; the row is
 * written only if it still has the epoch on which the transition was decided.
 */
import type {Instance, InstanceState} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';

/** Transitions of an instance; names as in spec/. */
export const transitions = [
	'startDrain',
	'cancelDrain',
	'finishDrain',
	'startReturn',
	'finishReturn',
	'commitMove',
] as const;

/** Name of a transition. */
export type Transition = (typeof transitions)[number];

/** Refusal of a transition that the state of the instance does not allow. */
export type TransitionRefusal = {
	readonly kind: 'wrong-state';
	readonly instance: string;
	readonly state: InstanceState;
	readonly transition: Transition;
};

const transitionStates: Readonly<
	Record<
		Transition,
		{readonly from: readonly InstanceState[]; readonly to: InstanceState}
	>
> = {
	startDrain: {from: ['serving'], to: 'draining'},
	cancelDrain: {from: ['draining', 'away'], to: 'serving'},
	finishDrain: {from: ['draining'], to: 'away'},
	startReturn: {from: ['away'], to: 'returning'},
	finishReturn: {from: ['returning'], to: 'serving'},
	commitMove: {from: ['away'], to: 'serving'},
};

/**
 * Applies a transition. Pass `pool` only with `commitMove`. Fails with
 * `wrong-state` if the state does not allow the transition.
 */
export const applyTransition = (
	instance: Instance,
	transition: Transition,
	pool: string = instance.pool,
): Result<Instance, TransitionRefusal> => {
	const {from, to} = transitionStates[transition];
	const {id, state, epoch} = instance;
	return from.includes(state)
		? succeed({...instance, state: to, epoch: epoch + 1, pool})
		: fail({kind: 'wrong-state', instance: id, state, transition} as const);
};
