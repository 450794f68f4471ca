/**
 * Transitions of one instance. Each makes the next epoch; the row is written
 * only if it is still at the epoch that the transition was decided on.
 */
import type {Instance, InstanceState} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';

/** What may happen to an instance; names as in spec/. */
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

/** A transition that does not start from the instance's state. */
export type TransitionRefusal = {
	readonly kind: 'wrong-state';
	readonly instance: string;
	readonly state: InstanceState;
	readonly transition: Transition;
};

const steps: Readonly<
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

/** Applies a transition; only `commitMove` takes a pool. */
export const applyTransition = (
	instance: Instance,
	transition: Transition,
	pool: string = instance.pool,
): Result<Instance, TransitionRefusal> => {
	const {from, to} = steps[transition];
	const {id, state, epoch} = instance;
	return from.includes(state)
		? succeed({...instance, state: to, epoch: epoch + 1, pool})
		: fail({kind: 'wrong-state', instance: id, state, transition} as const);
};
