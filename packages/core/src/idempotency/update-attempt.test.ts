/** Property test: random interleavings of attempts over one row. */
import {Buffer} from 'node:buffer';
import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	type Attempt,
	type Command,
	type Event,
	type Reply,
	type RunResult,
	type Step,
	type WriteResult,
	getWakeAt,
} from './attempt.js';
import {isUnchanged, type StoredRow} from './row.js';
import {defaultSettings} from './settings.js';
import {createAttempt, isEnded, updateAttempt} from './update-attempt.js';

type Write = Extract<Command, {kind: 'write'}>;
type Read = Extract<Event, {kind: 'read'}>['result'];

/** One attempt with its pending call and the replies to its caller. */
type Actor = {
	readonly name: string;
	attempt: Attempt;
	pendingCall: Command | undefined;
	replies: Reply[];
	isAlive: boolean;
	hasLeft: boolean;
	endedAt: number;
};

type Simulation = {
	now: number;
	version: number;
	stored: StoredRow | undefined;
	/** Previous values of the row, newest last. */
	readonly history: Array<StoredRow | undefined>;
	readonly objects: Map<string, Uint8Array>;
	readonly actors: Actor[];
	/** Writes and requests without reply that may still take effect. */
	readonly delayed: Array<() => void>;
	readonly runs: string[];
	readonly violations: string[];
};

const maxActors = 4;
const deadlineMs = 3000;
const largeAnswer = 5000;

const createSimulation = (): Simulation => ({
	now: 0,
	version: 0,
	stored: undefined,
	history: [],
	objects: new Map(),
	actors: [],
	delayed: [],
	runs: [],
	violations: [],
});

const getTime = (simulation: Simulation) => ({
	now: simulation.now,
	date: 1_000_000 + simulation.now,
});

/** Records a violation if the reply is wrong. */
const checkReply = (simulation: Simulation, actor: Actor, reply: Reply) => {
	const hasRun = simulation.runs.length > 0;
	if (reply.kind === 'error') {
		if (reply.outcome === 'not-run' && hasRun) {
			simulation.violations.push(
				`${actor.name} replied ${reply.error} after a run`,
			);
		}

		return;
	}

	const text = Buffer.from(reply.answer.body).toString().trimEnd();
	if (text !== simulation.runs[0]) {
		simulation.violations.push(
			`${actor.name} replied with the answer of ${text}`,
		);
	}
};

const isAnswered = ({replies, hasLeft}: Actor) => replies.length > 0 || hasLeft;

const applyStep = (simulation: Simulation, actor: Actor, step: Step) => {
	actor.attempt = step.attempt;
	if (isEnded(step.attempt)) {
		actor.endedAt = Math.min(actor.endedAt, simulation.now);
	}

	for (const command of step.commands) {
		if (command.kind === 'reply') {
			actor.replies.push(command.reply);
			checkReply(simulation, actor, command.reply);
			continue;
		}

		actor.pendingCall = command;
		if (command.kind === 'dispatch' && isAnswered(actor)) {
			simulation.violations.push(`${actor.name} dispatched after its reply`);
		}
	}
};

const sendEvent = (simulation: Simulation, actor: Actor, event: Event) => {
	if (actor.isAlive) {
		applyStep(
			simulation,
			actor,
			updateAttempt(actor.attempt, event, getTime(simulation)),
		);
	}
};

const startAttempt = (simulation: Simulation, isReadFirst: boolean) => {
	const name = `attempt-${simulation.actors.length}`;
	const holder = {entry: name, incarnation: 'a', operationId: name};
	const claim = {
		fingerprint: 'f',
		holder,
		createdAt: simulation.now,
		deadline: simulation.now + deadlineMs,
		jitter: 0.5,
	};
	const settings = {...defaultSettings, isReadFirst};
	const step = createAttempt(claim, settings, getTime(simulation));
	const actor: Actor = {
		name,
		attempt: step.attempt,
		pendingCall: undefined,
		replies: [],
		isAlive: true,
		hasLeft: false,
		endedAt: Number.POSITIVE_INFINITY,
	};
	simulation.actors.push(actor);
	applyStep(simulation, actor, step);
};

const applyWrite = (simulation: Simulation, write: Write): WriteResult => {
	if (!isUnchanged(simulation.stored, write.when)) {
		return {kind: 'conflict', current: simulation.stored};
	}

	simulation.version++;
	simulation.history.push(simulation.stored);
	simulation.stored = {version: simulation.version, row: write.row};
	return {kind: 'committed', version: simulation.version};
};

const run = (simulation: Simulation, actor: Actor) => {
	simulation.runs.push(actor.name);
	if (simulation.runs.length > 1) {
		simulation.violations.push(`${actor.name} ran again`);
	}

	const isReportedNotRun = actor.replies.some(
		(reply) => reply.kind === 'error' && reply.outcome === 'not-run',
	);
	if (isReportedNotRun) {
		simulation.violations.push(`${actor.name} ran after the reply not-run`);
	}
};

const lost: RunResult = {kind: 'lost', error: 'upstream-reset'};

const callResults = ['ok', 'refused', 'lost', 'reply-lost', 'late'] as const;
type CallResult = (typeof callResults)[number];

const dispatch = (
	simulation: Simulation,
	actor: Actor,
	callResult: CallResult,
): RunResult => {
	switch (callResult) {
		case 'ok': {
			run(simulation, actor);
			const length = simulation.actors.length % 2 === 0 ? largeAnswer : 1;
			const body = Buffer.from(actor.name.padEnd(length));
			return {kind: 'answered', answer: {status: 200, headers: [], body}};
		}

		case 'refused': {
			return {kind: 'refused', error: 'upstream-refused'};
		}

		case 'reply-lost': {
			run(simulation, actor);
			return lost;
		}

		case 'lost': {
			return lost;
		}

		case 'late': {
			simulation.delayed.push(() => {
				run(simulation, actor);
			});
			return lost;
		}
	}
};

const write = (
	simulation: Simulation,
	command: Write,
	callResult: CallResult,
): WriteResult => {
	switch (callResult) {
		case 'ok': {
			return applyWrite(simulation, command);
		}

		case 'refused': {
			return {kind: 'refused'};
		}

		case 'reply-lost': {
			applyWrite(simulation, command);
			return {kind: 'lost'};
		}

		case 'lost': {
			return {kind: 'lost'};
		}

		case 'late': {
			simulation.delayed.push(() => {
				applyWrite(simulation, command);
			});
			return {kind: 'lost'};
		}
	}
};

/** Reads the row; a late reply returns its previous value. */
const read = (simulation: Simulation, callResult: CallResult): Read => {
	switch (callResult) {
		case 'ok': {
			return {kind: 'row', stored: simulation.stored};
		}

		case 'late': {
			return {kind: 'row', stored: simulation.history.at(-1)};
		}

		case 'refused':
		case 'reply-lost':
		case 'lost': {
			return {kind: 'failed'};
		}
	}
};

/** Ends the pending call of an attempt with the given result. */
const endCall = (
	simulation: Simulation,
	actor: Actor,
	callResult: CallResult,
) => {
	const {pendingCall} = actor;
	actor.pendingCall = undefined;
	switch (pendingCall?.kind) {
		case 'read': {
			sendEvent(simulation, actor, {
				kind: 'read',
				result: read(simulation, callResult),
			});
			break;
		}

		case 'write': {
			const result = write(simulation, pendingCall, callResult);
			sendEvent(simulation, actor, {kind: 'written', result});
			break;
		}

		case 'dispatch': {
			const result = dispatch(simulation, actor, callResult);
			sendEvent(simulation, actor, {kind: 'ran', result});
			break;
		}

		case 'put-object': {
			const isKept = callResult === 'ok';
			simulation.objects.set(pendingCall.name, pendingCall.body);
			sendEvent(simulation, actor, {kind: 'object-put', isKept});
			break;
		}

		case 'get-object': {
			const body =
				callResult === 'ok'
					? simulation.objects.get(pendingCall.name)
					: undefined;
			sendEvent(simulation, actor, {kind: 'object-got', body});
			break;
		}

		case 'reply':
		case undefined: {
			break;
		}
	}
};

const advance = (simulation: Simulation, ms: number) => {
	simulation.now += ms;
	for (const actor of simulation.actors) {
		if (getWakeAt(actor.attempt) <= simulation.now) {
			sendEvent(simulation, actor, {kind: 'tick'});
		}
	}
};

type Model = {actors: number; readonly most: number};
type Action = fc.Command<Model, Simulation>;

const check = (simulation: Simulation) => {
	if (simulation.violations.length > 0) {
		throw new Error(simulation.violations.join('; '));
	}
};

const createAction = (
	name: string,
	act: (simulation: Simulation) => void,
	isStart = false,
): Action => ({
	check: ({actors, most}) => (isStart ? actors < most : actors > 0),
	run(model, simulation) {
		model.actors += isStart ? 1 : 0;
		act(simulation);
		check(simulation);
	},
	toString: () => name,
});

/** Creates an action on one running attempt. */
const withActor = (
	name: string,
	index: number,
	act: (simulation: Simulation, actor: Actor) => void,
): Action =>
	createAction(`${name}(${index})`, (simulation) => {
		const actor = simulation.actors[index % simulation.actors.length];
		if (actor?.isAlive) {
			act(simulation, actor);
		}
	});

const index = fc.nat({max: maxActors - 1});
const actions: Array<fc.Arbitrary<Action>> = [
	fc.boolean().map((isReadFirst) =>
		createAction(
			`startAttempt(${isReadFirst ? 'read' : 'write'})`,
			(simulation) => {
				startAttempt(simulation, isReadFirst);
			},
			true,
		),
	),
	fc
		.tuple(index, fc.constantFrom(...callResults, 'ok', 'ok'))
		.map(([at, callResult]) =>
			withActor(`end ${callResult}`, at, (simulation, actor) => {
				endCall(simulation, actor, callResult);
			}),
		),
	fc.tuple(index, fc.constantFrom('ok' as const)).map(([at, callResult]) =>
		withActor(`end ${callResult}`, at, (simulation, actor) => {
			endCall(simulation, actor, callResult);
		}),
	),
	fc.constantFrom(30, 200, 1000, 5000, 70_000).map((ms) =>
		createAction(`advance(${ms})`, (simulation) => {
			advance(simulation, ms);
		}),
	),
	fc.nat({max: 7}).map((at) =>
		createAction(`applyDelayed(${at})`, (simulation) => {
			const [apply] = simulation.delayed.splice(
				at % Math.max(1, simulation.delayed.length),
				1,
			);
			apply?.();
		}),
	),
	index.map((at) =>
		withActor('kill', at, (_simulation, actor) => {
			actor.isAlive = false;
		}),
	),
	index.map((at) =>
		withActor('leave', at, (simulation, actor) => {
			actor.hasLeft = true;
			sendEvent(simulation, actor, {kind: 'caller-gone'});
		}),
	),
];

const checkEnd = (simulation: Simulation, actor: Actor) => {
	const {name, attempt, hasLeft, replies, endedAt} = actor;
	if (!isEnded(attempt)) {
		simulation.violations.push(`${name} did not end: ${attempt.intent.kind}`);
	}

	if (replies.length > 1 || (replies.length === 0 && !hasLeft)) {
		simulation.violations.push(`${name} answered ${replies.length} times`);
	}

	const row = simulation.stored?.row;
	const isStillStarted =
		row?.state === 'started' && row.holder.operationId === name;
	if (isStillStarted && endedAt < attempt.completeBy) {
		simulation.violations.push(`${name} left its row started`);
	}
};

/** Runs without faults; every running attempt must end with one reply. */
const finishAll = (simulation: Simulation) => {
	for (let round = 0; round < 400; round++) {
		for (const actor of simulation.actors) {
			endCall(simulation, actor, 'ok');
		}

		advance(simulation, 500);
	}

	for (const apply of simulation.delayed) {
		apply();
	}

	for (const actor of simulation.actors) {
		if (actor.isAlive) {
			checkEnd(simulation, actor);
		}
	}

	check(simulation);
};

const property = fc.property(
	fc.constantFrom(1, 2, 3, maxActors, maxActors),
	fc.commands(actions, {maxCommands: 60, size: 'max'}),
	(most, commands) => {
		const simulation = createSimulation();
		fc.modelRun(() => ({model: {actors: 0, most}, real: simulation}), commands);
		finishAll(simulation);
	},
);

tap.t.test('concurrent attempts never run a key twice', async (t) => {
	t.doesNotThrow(() => {
		fc.assert(property, {seed: 5, numRuns: 8000});
	});
});
