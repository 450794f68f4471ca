/** Runs one attempt: performs the core's commands and reports their results. */
import * as core from '@gullstand/core';
import type {Result} from '@gullstand/core';
import type {ObjectStore, TableService} from '@gullstand/ports';
import {
	type GroupWriter,
	readStored,
	idempotencyTable,
} from './group-writer.js';
import type {Clock} from './ports.js';

type Attempt = core.idempotency.Attempt;
type Command = core.idempotency.Command;
type Event = core.idempotency.Event;
type Reply = core.idempotency.Reply;
type RunResult = core.idempotency.RunResult;

/** Sends the request to an executor; sends no byte after `dispatchBy`. */
export type Dispatch = (dispatchBy: number) => Promise<RunResult>;

/** Dependencies that attempts share. */
export type AttemptRunnerPorts = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly writer: GroupWriter;
	readonly clock: Clock;
};

/** Options of one attempt. */
export type AttemptRunnerOptions = {
	readonly ports: AttemptRunnerPorts;
	readonly rowKey: string;
	readonly claim: core.idempotency.Claim;
	readonly settings: core.idempotency.Settings;
	readonly dispatch: Dispatch;
	readonly onReply: (reply: Reply) => void;
	/** Called once the attempt has no work left. */
	readonly onEnd: () => void;
};

/** A running attempt. */
export type AttemptRunner = {
	/** Reports that no caller waits; true if the attempt will still answer. */
	readonly reportCallerGone: () => boolean;
};

type State = {
	attempt: Attempt | undefined;
	cancelWake: () => void;
	/** Cancels the pending write; false if it was sent. */
	withdraw: () => boolean;
};

const noWake = () => undefined;
const noWithdraw = () => false;

/** Treats a call that throws as one without a reply. */
const runCall = async <Value, Failure>(
	call: () => Promise<Result<Value, Failure>>,
): Promise<Result<Value, Failure | {readonly kind: 'timeout'}>> => {
	try {
		return await call();
	} catch {
		return core.fail({kind: 'timeout'});
	}
};

/** Treats a dispatch that throws as lost: the request may have been sent. */
const runDispatch = async (
	dispatch: Dispatch,
	dispatchBy: number,
): Promise<RunResult> => {
	try {
		return await dispatch(dispatchBy);
	} catch {
		return {kind: 'lost', error: 'internal'};
	}
};

/** Starts an attempt; calls `onReply` and `onEnd` once each. */
export const runAttempt = (options: AttemptRunnerOptions): AttemptRunner => {
	const {ports, rowKey, claim, settings, dispatch, onReply, onEnd} = options;
	const {tables, objects, writer, clock} = ports;
	const state: State = {
		attempt: undefined,
		cancelWake: noWake,
		withdraw: noWithdraw,
	};

	const read = async () => {
		const result = await runCall(async () =>
			tables.get(idempotencyTable, rowKey),
		);
		update({
			kind: 'read',
			result: result.ok
				? {kind: 'row', stored: readStored(result.value)}
				: {kind: 'failed'},
		});
	};

	const write = (command: Extract<Command, {kind: 'write'}>) => {
		const {row, when, isUrgent} = command;
		const onWritten = (result: core.idempotency.WriteResult) => {
			state.withdraw = noWithdraw;
			update({kind: 'written', result});
		};

		state.withdraw = writer.write({
			key: rowKey,
			row,
			when,
			isUrgent,
			onEnd: onWritten,
		});
	};

	const run = async (dispatchBy: number) => {
		const result = await runDispatch(dispatch, dispatchBy);
		update({kind: 'ran', result});
	};

	const putObject = async (name: string, body: Uint8Array) => {
		const result = await runCall(async () => objects.put(name, body));
		update({kind: 'object-put', isKept: result.ok});
	};

	const getObject = async (name: string) => {
		const result = await runCall(async () => objects.get(name));
		update({kind: 'object-got', body: result.ok ? result.value : undefined});
	};

	const perform = (command: Command) => {
		switch (command.kind) {
			case 'read': {
				void read();
				break;
			}

			case 'write': {
				write(command);
				break;
			}

			case 'dispatch': {
				void run(command.dispatchBy);
				break;
			}

			case 'put-object': {
				void putObject(command.name, command.body);
				break;
			}

			case 'get-object': {
				void getObject(command.name);
				break;
			}

			case 'reply': {
				onReply(command.reply);
				break;
			}
		}
	};

	const wake = () => {
		const isWithdrawn = state.withdraw();
		state.withdraw = noWithdraw;
		if (isWithdrawn) {
			update({kind: 'written', result: {kind: 'refused'}});
		}

		update({kind: 'tick'});
	};

	const applyStep = (step: core.idempotency.Step) => {
		state.attempt = step.attempt;
		state.cancelWake();
		state.cancelWake = noWake;
		for (const command of step.commands) {
			perform(command);
		}

		if (core.idempotency.isEnded(step.attempt)) {
			onEnd();
			return;
		}

		const at = core.idempotency.getWakeAt(step.attempt);
		if (Number.isFinite(at)) {
			state.cancelWake = clock.callAt(at, wake);
		}
	};

	const update = (event: Event) => {
		const {attempt} = state;
		if (attempt === undefined || core.idempotency.isEnded(attempt)) {
			return;
		}

		applyStep(core.idempotency.updateAttempt(attempt, event, clock.getTime()));
	};

	applyStep(core.idempotency.createAttempt(claim, settings, clock.getTime()));
	return {
		reportCallerGone() {
			update({kind: 'caller-gone'});
			return state.attempt?.isAnswered === false;
		},
	};
};
