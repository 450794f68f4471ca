/**
 * Groups independent small transactions into one commit, to save writes. Each
 * member gets its own outcome: a member that conflicts is removed from the group,
 * and the others are sent again.
 * Source: group commit; DeWitt et al., SIGMOD 1984.
 */
import type {TableService} from '../ports/table-service.js';
import {
	commitWithReadBack,
	type CommitOutcome,
	type Operation,
} from './commit-with-read-back.js';
import type {Environment} from './guarded-call.js';

/** A transaction that may be committed together with others. */
export type BatchMember = Omit<Operation, 'id'>;

/** Outcome of a member and the operation id of its rows if committed. */
export type BatchOutcome = CommitOutcome & {readonly operationId: string};

/** Settings of a batcher; times in milliseconds. */
export type BatcherConfig = {
	/** How long the first member waits for others. */
	readonly maxDelayMs: number;
	readonly maxWrites: number;
	/** Maximum time to determine the outcome of a group. */
	readonly maxCommitMs: number;
};

/** Default settings. */
export const defaultBatcherConfig: BatcherConfig = {
	maxDelayMs: 5,
	maxWrites: 50,
	maxCommitMs: 5000,
};

/** Commits submitted members in groups. */
export type CommitBatcher = {
	readonly submit: (member: BatchMember) => Promise<BatchOutcome>;
};

type Pending = {
	readonly member: BatchMember;
	readonly resolve: (outcome: BatchOutcome) => void;
};

type Options = {
	readonly tables: TableService;
	readonly env: Environment;
	/** Creates a unique id. */
	readonly createId: () => string;
	readonly cfg?: BatcherConfig;
};

const getRowName = (table: string, key: string): string =>
	JSON.stringify([table, key]);

const getRowNames = ({writes}: BatchMember): string[] =>
	writes.map(({table, key}) => getRowName(table, key));

/** Removes leading members that fit into one commit of distinct rows. */
const dequeueGroup = (queue: Pending[], maxWrites: number): Pending[] => {
	const group: Pending[] = [];
	const rows = new Set<string>();
	for (const pending of queue) {
		const names = getRowNames(pending.member);
		const isFull = rows.size + names.length > maxWrites;
		if (group.length > 0 && (isFull || names.some((name) => rows.has(name)))) {
			break;
		}

		group.push(pending);
		for (const name of names) {
			rows.add(name);
		}
	}

	queue.splice(0, group.length);
	return group;
};

const resolveAll = (
	group: readonly Pending[],
	outcome: CommitOutcome,
	operationId: string,
): void => {
	for (const {resolve} of group) {
		const {versions: _, ...rest} = {versions: undefined, ...outcome};
		resolve({...rest, operationId});
	}
};

const findConflicting = (
	group: readonly Pending[],
	{table, key}: {readonly table: string; readonly key: string},
): Pending | undefined => {
	const name = getRowName(table, key);
	return group.find(({member}) => getRowNames(member).includes(name));
};

const commitGroup = async (
	group: readonly Pending[],
	options: Options,
	cfg: BatcherConfig,
): Promise<void> => {
	const {tables, env} = options;
	const [first] = group;
	if (!first) {
		return;
	}

	const id = options.createId();
	const outcome = await commitWithReadBack(
		tables,
		{
			id,
			writes: group.flatMap(({member}) => member.writes),
			witness: first.member.witness,
		},
		{env, deadline: env.now() + cfg.maxCommitMs},
	);
	if (outcome.kind === 'conflict') {
		const conflicting = findConflicting(group, outcome) ?? first;
		conflicting.resolve({...outcome, operationId: id});
		const rest = group.filter((pending) => pending !== conflicting);
		await commitGroup(rest, options, cfg);
		return;
	}

	const isTooLarge =
		outcome.kind === 'not-committed' && outcome.reason === 'too-large';
	if (isTooLarge && group.length > 1) {
		const half = Math.ceil(group.length / 2);
		await commitGroup(group.slice(0, half), options, cfg);
		await commitGroup(group.slice(half), options, cfg);
		return;
	}

	resolveAll(group, outcome, id);
};

/** Creates a batcher, which commits one group at a time. */
export const createCommitBatcher = (options: Options): CommitBatcher => {
	const cfg = options.cfg ?? defaultBatcherConfig;
	const queue: Pending[] = [];
	let isRunning = false;
	const commitQueue = async (): Promise<void> => {
		isRunning = true;
		await options.env.wait(cfg.maxDelayMs);
		while (queue.length > 0) {
			await commitGroup(dequeueGroup(queue, cfg.maxWrites), options, cfg);
		}

		isRunning = false;
	};

	return {
		submit: async (member) =>
			new Promise((resolve) => {
				queue.push({member, resolve});
				if (!isRunning) {
					void commitQueue();
				}
			}),
	};
};
