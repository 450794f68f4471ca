/** Random histories of attempts over one row; fast-check finds the shortest. */
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

/** One attempt, the call that is out, and what its caller was told. */
type Actor = {
	readonly name: string;
	attempt: Attempt;
	out: Command | undefined;
	replies: Reply[];
	isAlive: boolean;
	hasLeft: boolean;
	endedAt: number;
};

type World = {
	now: number;
	version: number;
	stored: StoredRow | undefined;
	/** What the row was before, newest last. */
	readonly history: Array<StoredRow | undefined>;
	readonly objects: Map<string, Uint8Array>;
	readonly actors: Actor[];
	/** Writes and requests without reply, which may have an effect yet. */
	readonly late: Array<() => void>;
	readonly runs: string[];
	readonly faults: string[];
};

const maxActors = 4;
const deadlineMs = 3000;
const largeAnswer = 5000;

const createWorld = (): World => ({
	now: 0,
	version: 0,
	stored: undefined,
	history: [],
	objects: new Map(),
	actors: [],
	late: [],
	runs: [],
	faults: [],
});

const getTime = (world: World) => ({
	now: world.now,
	date: 1_000_000 + world.now,
});

/** Notes a reply that must not be given. */
const judge = (world: World, actor: Actor, reply: Reply) => {
	const hasRun = world.runs.length > 0;
	if (reply.kind === 'error') {
		if (reply.outcome === 'not-run' && hasRun) {
			world.faults.push(`${actor.name} told ${reply.error} after a run`);
		}

		return;
	}

	const text = Buffer.from(reply.answer.body).toString().trimEnd();
	if (text !== world.runs[0]) {
		world.faults.push(`${actor.name} got the answer of ${text}`);
	}
};

const isTold = ({replies, hasLeft}: Actor) => replies.length > 0 || hasLeft;

const take = (world: World, actor: Actor, step: Step) => {
	actor.attempt = step.attempt;
	if (isEnded(step.attempt)) {
		actor.endedAt = Math.min(actor.endedAt, world.now);
	}

	for (const command of step.commands) {
		if (command.kind === 'reply') {
			actor.replies.push(command.reply);
			judge(world, actor, command.reply);
			continue;
		}

		actor.out = command;
		if (command.kind === 'dispatch' && isTold(actor)) {
			world.faults.push(`${actor.name} dispatches what was answered`);
		}
	}
};

const feed = (world: World, actor: Actor, event: Event) => {
	if (actor.isAlive) {
		take(world, actor, updateAttempt(actor.attempt, event, getTime(world)));
	}
};

const begin = (world: World, isReadFirst: boolean) => {
	const name = `attempt-${world.actors.length}`;
	const holder = {entry: name, incarnation: 'a', operationId: name};
	const claim = {
		fingerprint: 'f',
		holder,
		createdAt: world.now,
		deadline: world.now + deadlineMs,
		jitter: 0.5,
	};
	const settings = {...defaultSettings, isReadFirst};
	const step = createAttempt(claim, settings, getTime(world));
	const actor: Actor = {
		name,
		attempt: step.attempt,
		out: undefined,
		replies: [],
		isAlive: true,
		hasLeft: false,
		endedAt: Number.POSITIVE_INFINITY,
	};
	world.actors.push(actor);
	take(world, actor, step);
};

const applyWrite = (world: World, write: Write): WriteResult => {
	if (!isUnchanged(world.stored, write.when)) {
		return {kind: 'conflict', current: world.stored};
	}

	world.version++;
	world.history.push(world.stored);
	world.stored = {version: world.version, row: write.row};
	return {kind: 'committed', version: world.version};
};

const run = (world: World, actor: Actor) => {
	world.runs.push(actor.name);
	if (world.runs.length > 1) {
		world.faults.push(`${actor.name} ran again`);
	}

	const toldNotRun = actor.replies.some(
		(reply) => reply.kind === 'error' && reply.outcome === 'not-run',
	);
	if (toldNotRun) {
		world.faults.push(`${actor.name} ran and was told not-run`);
	}
};

const lost: RunResult = {kind: 'lost', error: 'upstream-reset'};

const fates = ['ok', 'refused', 'lost', 'reply-lost', 'late'] as const;
type Fate = (typeof fates)[number];

const dispatch = (world: World, actor: Actor, fate: Fate): RunResult => {
	switch (fate) {
		case 'ok': {
			run(world, actor);
			const length = world.actors.length % 2 === 0 ? largeAnswer : 1;
			const body = Buffer.from(actor.name.padEnd(length));
			return {kind: 'answered', answer: {status: 200, headers: [], body}};
		}

		case 'refused': {
			return {kind: 'refused', error: 'upstream-refused'};
		}

		case 'reply-lost': {
			run(world, actor);
			return lost;
		}

		case 'lost': {
			return lost;
		}

		case 'late': {
			world.late.push(() => {
				run(world, actor);
			});
			return lost;
		}
	}
};

const write = (world: World, command: Write, fate: Fate): WriteResult => {
	switch (fate) {
		case 'ok': {
			return applyWrite(world, command);
		}

		case 'refused': {
			return {kind: 'refused'};
		}

		case 'reply-lost': {
			applyWrite(world, command);
			return {kind: 'lost'};
		}

		case 'lost': {
			return {kind: 'lost'};
		}

		case 'late': {
			world.late.push(() => {
				applyWrite(world, command);
			});
			return {kind: 'lost'};
		}
	}
};

/** Reads the row; a late reply shows the row as it was before. */
const read = (world: World, fate: Fate): Read => {
	switch (fate) {
		case 'ok': {
			return {kind: 'row', stored: world.stored};
		}

		case 'late': {
			return {kind: 'row', stored: world.history.at(-1)};
		}

		case 'refused':
		case 'reply-lost':
		case 'lost': {
			return {kind: 'failed'};
		}
	}
};

/** Ends the call of an attempt as fate has it. */
const endCall = (world: World, actor: Actor, fate: Fate) => {
	const {out} = actor;
	actor.out = undefined;
	switch (out?.kind) {
		case 'read': {
			feed(world, actor, {kind: 'read', result: read(world, fate)});
			break;
		}

		case 'write': {
			const result = write(world, out, fate);
			feed(world, actor, {kind: 'written', result});
			break;
		}

		case 'dispatch': {
			const result = dispatch(world, actor, fate);
			feed(world, actor, {kind: 'ran', result});
			break;
		}

		case 'put-object': {
			const isKept = fate === 'ok';
			world.objects.set(out.name, out.body);
			feed(world, actor, {kind: 'object-put', isKept});
			break;
		}

		case 'get-object': {
			const body = fate === 'ok' ? world.objects.get(out.name) : undefined;
			feed(world, actor, {kind: 'object-got', body});
			break;
		}

		case 'reply':
		case undefined: {
			break;
		}
	}
};

const advance = (world: World, ms: number) => {
	world.now += ms;
	for (const actor of world.actors) {
		if (getWakeAt(actor.attempt) <= world.now) {
			feed(world, actor, {kind: 'tick'});
		}
	}
};

type Model = {actors: number; readonly most: number};
type Action = fc.Command<Model, World>;

const check = (world: World) => {
	if (world.faults.length > 0) {
		throw new Error(world.faults.join('; '));
	}
};

const createAction = (
	name: string,
	act: (world: World) => void,
	isBegin = false,
): Action => ({
	check: ({actors, most}) => (isBegin ? actors < most : actors > 0),
	run(model, world) {
		model.actors += isBegin ? 1 : 0;
		act(world);
		check(world);
	},
	toString: () => name,
});

/** Acts on one of the attempts. */
const withActor = (
	name: string,
	index: number,
	act: (world: World, actor: Actor) => void,
): Action =>
	createAction(`${name}(${index})`, (world) => {
		const actor = world.actors[index % world.actors.length];
		if (actor?.isAlive) {
			act(world, actor);
		}
	});

const index = fc.nat({max: maxActors - 1});
const actions: Array<fc.Arbitrary<Action>> = [
	fc.boolean().map((isReadFirst) =>
		createAction(
			`begin(${isReadFirst ? 'read' : 'write'})`,
			(world) => {
				begin(world, isReadFirst);
			},
			true,
		),
	),
	fc.tuple(index, fc.constantFrom(...fates, 'ok', 'ok')).map(([at, fate]) =>
		withActor(`end ${fate}`, at, (world, actor) => {
			endCall(world, actor, fate);
		}),
	),
	fc.tuple(index, fc.constantFrom('ok' as const)).map(([at, fate]) =>
		withActor(`end ${fate}`, at, (world, actor) => {
			endCall(world, actor, fate);
		}),
	),
	fc.constantFrom(30, 200, 1000, 5000, 70_000).map((ms) =>
		createAction(`advance(${ms})`, (world) => {
			advance(world, ms);
		}),
	),
	fc.nat({max: 7}).map((at) =>
		createAction(`land(${at})`, (world) => {
			const [land] = world.late.splice(at % Math.max(1, world.late.length), 1);
			land?.();
		}),
	),
	index.map((at) =>
		withActor('kill', at, (_world, actor) => {
			actor.isAlive = false;
		}),
	),
	index.map((at) =>
		withActor('leave', at, (world, actor) => {
			actor.hasLeft = true;
			feed(world, actor, {kind: 'caller-gone'});
		}),
	),
];

const judgeEnd = (world: World, actor: Actor) => {
	const {name, attempt, hasLeft, replies, endedAt} = actor;
	if (!isEnded(attempt)) {
		world.faults.push(`${name} never ends: ${attempt.intent.kind}`);
	}

	if (replies.length > 1 || (replies.length === 0 && !hasLeft)) {
		world.faults.push(`${name} answered ${replies.length} times`);
	}

	const row = world.stored?.row;
	const isLeft = row?.state === 'started' && row.holder.operationId === name;
	if (isLeft && endedAt < attempt.completeBy) {
		world.faults.push(`${name} left its row started`);
	}
};

/** Without further faults every living attempt ends, and answers once. */
const finish = (world: World) => {
	for (let round = 0; round < 400; round++) {
		for (const actor of world.actors) {
			endCall(world, actor, 'ok');
		}

		advance(world, 500);
	}

	for (const land of world.late) {
		land();
	}

	for (const actor of world.actors) {
		if (actor.isAlive) {
			judgeEnd(world, actor);
		}
	}

	check(world);
};

const property = fc.property(
	fc.constantFrom(1, 2, 3, maxActors, maxActors),
	fc.commands(actions, {maxCommands: 60, size: 'max'}),
	(most, commands) => {
		const world = createWorld();
		fc.modelRun(() => ({model: {actors: 0, most}, real: world}), commands);
		finish(world);
	},
);

tap.t.test('no history of attempts runs a key twice', async (t) => {
	t.doesNotThrow(() => {
		fc.assert(property, {seed: 5, numRuns: 8000});
	});
});
