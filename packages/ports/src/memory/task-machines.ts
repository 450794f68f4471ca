/** Machines and feeds in memory, for tests and the demo. */
import {succeed} from '@gullstand/core';
import type {Feed, FeedEntry} from '../ports/feeds.js';
import type {Machine, Machines} from '../ports/machines.js';
import {createChangeSignal} from './change-signal.js';

/** Machines in memory with controls for tests. */
export type MemoryMachines = Machines & {
	readonly put: (machine: Machine) => void;
	readonly remove: (id: string) => void;
	readonly listCommands: () => readonly MachineCommand[];
	/** Called with each command that is carried out. */
	onCommand: ((command: MachineCommand) => void) | undefined;
};

/** A command that was carried out. */
export type MachineCommand = {
	readonly kind: 'move' | 'maintain';
	readonly machine: string;
	readonly fencingToken: number;
	readonly holder: string;
};

/** Creates machines; a command leaves one in `maintenance` until it is put. */
export const createMemoryMachines = (): MemoryMachines => {
	const machines = new Map<string, Machine>();
	const tokens = new Map<string, number>();
	const commands: MachineCommand[] = [];

	const runCommand = (next: MachineCommand) => {
		const machine = machines.get(next.machine);
		if (!machine) {
			return 'invalid' as const;
		}

		if (next.fencingToken < (tokens.get(next.machine) ?? 0)) {
			return 'fenced' as const;
		}

		if (machine.state !== 'up') {
			return 'busy' as const;
		}

		tokens.set(next.machine, next.fencingToken);
		machines.set(next.machine, {...machine, state: 'maintenance'});
		commands.push(next);
		memory.onCommand?.(next);
		return 'done' as const;
	};

	const memory: MemoryMachines = {
		onCommand: undefined,
		list: async () => succeed([...machines.values()]),
		move: async ({machine, fencingToken, holder}) =>
			runCommand({kind: 'move', machine, fencingToken, holder}),
		maintain: async ({machine, fencingToken, holder}) =>
			runCommand({kind: 'maintain', machine, fencingToken, holder}),
		put(machine) {
			machines.set(machine.id, machine);
		},
		remove(id) {
			machines.delete(id);
		},
		listCommands: () => commands,
	};
	return memory;
};

/** A feed in memory with controls for tests. */
export type MemoryFeed<Value> = Feed<Value> & {
	readonly put: (key: string, value: Value | undefined) => void;
	/** Makes an entry unreadable. */
	readonly setUnreadable: (key: string, problem: string) => void;
};

export const createMemoryFeed = <Value>(): MemoryFeed<Value> => {
	const entries = new Map<string, FeedEntry<Value>>();
	const history: Array<FeedEntry<Value>> = [];
	const signal = createChangeSignal();

	const publish = (entry: FeedEntry<Value>) => {
		history.push(entry);
		signal.notify();
	};

	return {
		put(key, value) {
			if (value === undefined) {
				entries.delete(key);
			} else {
				entries.set(key, {key, value});
			}

			publish({key, value});
		},
		setUnreadable(key, problem) {
			const entry = {key, value: undefined, problem};
			entries.set(key, entry);
			publish(entry);
		},
		readAll: async () =>
			succeed({
				entries: [...entries.values()],
				version: history.length,
			}),
		async readChanges(afterVersion, waitMs) {
			if (history.length === afterVersion && waitMs > 0) {
				await signal.wait(waitMs);
			}

			return succeed({
				entries: history.slice(afterVersion),
				version: history.length,
			});
		},
	};
};
