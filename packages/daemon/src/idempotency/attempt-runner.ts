/** Runs one attempt: makes the core's calls and feeds their ends back. */
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

/** Sends the request to an executor. No byte goes out after `dispatchBy`. */
export type Dispatch = (dispatchBy: number) => Promise<RunResult>;

/** What attempts share. */
export type AttemptRunnerPorts = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly writer: GroupWriter;
	readonly clock: Clock;
};

/** One attempt to run. */
export type AttemptRunnerOptions = {
	readonly ports: AttemptRunnerPorts;
	readonly rowKey: string;
	readonly claim: core.idempotency.Claim;
	readonly settings: core.idempotency.Settings;
	readonly dispatch: Dispatch;
	readonly onReply: (reply: Reply) => void;
	/** Nothing of the attempt is left to do. */
	readonly onEnd: () => void;
};

/** A running attempt. */
export type AttemptRunner = {
	/** Tells that no caller waits any more; true if it goes on to answer. */
	readonly reportCallerGone: () => boolean;
};

type State = {
	attempt: Attempt | undefined;
	cancelWake: () => void;
	/** Takes the write that is out back, if it was not yet sent. */
	withdraw: () => boolean;
};

const noWake = () => undefined;
const noWithdraw = () => false;

/** A call that throws had no reply. */
const settleCall = async <Value, Failure>(
	call: () => Promise<Result<Value, Failure>>,
): Promise<Result<Value, Failure | {readonly kind: 'timeout'}>> => {
	try {
		return await call();
	} catch {
		return core.fail({kind: 'timeout'});
	}
};

/** A dispatch that throws may have sent the request. */
const settleDispatch = async (
	dispatch: Dispatch,
	dispatchBy: number,
): Promise<RunResult> => {
	try {
		return await dispatch(dispatchBy);
	} catch {
		return {kind: 'lost', error: 'internal'};
	}
};

/** Starts an attempt; its reply and end are told once each. */
export const runAttempt = (options: AttemptRunnerOptions): AttemptRunner => {
	const {ports, rowKey, claim, settings, dispatch, onReply, onEnd} = options;
	const {tables, objects, writer, clock} = ports;
	const state: State = {
		attempt: undefined,
		cancelWake: noWake,
		withdraw: noWithdraw,
	};

	const read = async () => {
		const result = await settleCall(async () =>
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
		const result = await settleDispatch(dispatch, dispatchBy);
		update({kind: 'ran', result});
	};

	const putObject = async (name: string, body: Uint8Array) => {
		const result = await settleCall(async () => objects.put(name, body));
		update({kind: 'object-put', isKept: result.ok});
	};

	const getObject = async (name: string) => {
		const result = await settleCall(async () => objects.get(name));
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

	const take = (step: core.idempotency.Step) => {
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

		take(core.idempotency.updateAttempt(attempt, event, clock.getTime()));
	};

	take(core.idempotency.createAttempt(claim, settings, clock.getTime()));
	return {
		reportCallerGone() {
			update({kind: 'caller-gone'});
			return state.attempt?.isAnswered === false;
		},
	};
};
