/** Explains to operators why room is not given to a task now. */
import {
	placementRefusals,
	placeTask,
	type Placement,
} from '../placement/place-task.js';
import type {Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Task} from '../state/task.js';

const describePlacement = (placement: Placement): string =>
	placement.kind === 'placed'
		? `it is about to start on ${placement.executor.id}`
		: placementRefusals[placement.reason];

/** Explains where a task starts, or why it has no room. */
export const explainRoom = (
	{roomShares: {reservations, isShort}}: Owner,
	usable: readonly Executor[],
	task: Task,
): string => {
	const placement = placeTask(usable, task);
	const own = reservations.find((each) => each.task === task);
	if (own) {
		return `${describePlacement(placement)}; ${own.executorId} takes no other starts until it has room for this task`;
	}

	const reserved = new Set(reservations.map(({executorId}) => executorId));
	const others = placeTask(
		usable.filter(({id}) => !reserved.has(id)),
		task,
	);
	if (placement.kind === 'placed') {
		return others.kind === 'placed'
			? describePlacement(others)
			: 'the only room is on executors that are kept for wide tasks of teams with a smaller share';
	}

	return isShort && placement.reason === 'noRoom'
		? `${placementRefusals.noRoom}, and room goes to teams with a smaller share for their weight first`
		: describePlacement(placement);
};
