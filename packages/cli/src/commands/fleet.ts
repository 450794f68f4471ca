/** `gullstand status|pool|move|entry|change`: shows and changes the fleet. */
import type {Command} from 'commander';
import {formatInForce, formatValue} from './answer.js';
import {callAndPrint, type Fields} from './call.js';
import {addTargetFlags, type Io, type TargetFlags} from './io.js';

const formatCounts = (counts: Fields): string =>
	Object.entries(counts)
		.map(([name, count]) => `${name} ${formatValue(count)}`)
		.join(', ');

const formatPool = (pool: Fields): readonly string[] => {
	const services = pool.services as readonly Fields[];
	return [
		`${formatValue(pool.pool)}: ${formatCounts(pool.states as Fields)}`,
		...services.map((each) => {
			const away = each.mayBeAway as Fields | null;
			const bound = away
				? `${formatValue(away.value)} may be away (contract ${formatValue(away.customer)})`
				: 'no contract';
			return `  service ${formatValue(each.service)}: ${bound}`;
		}),
	];
};

const formatEntry = (entry: Fields): string => {
	const holding = entry.holding as readonly string[];
	const state =
		entry.lags === null ? 'up to date' : `lags: ${formatValue(entry.lags)}`;
	const holdings = holding.length === 0 ? '' : `, holds ${holding.join(' ')}`;
	return `${formatValue(entry.entry)} ${formatValue(entry.address)} revision ${formatValue(entry.inForce)}, ${state}${holdings}, version ${formatValue(entry.etag)}`;
};

const formatObjectChange = (change: Fields): string => {
	const [verb = '', name = ''] = formatValue(change.kind).split('-');
	const object = (change[name] ?? change) as Fields;
	const key = object.customer ?? object.name ?? object.id;
	return `${verb} ${name} ${formatValue(key)}`;
};

const formatChange = (delta: Fields): string => {
	const changes = delta.changes as readonly Fields[];
	const at = new Date(Number(delta.committedAt)).toISOString();
	const objects = changes.map((change) => formatObjectChange(change));
	return `${formatValue(delta.revision)} ${at} ${formatValue(delta.author)}: ${objects.join(', ')}`;
};

const registerPools = (program: Command, io: Io) => {
	const group = program.command('pool').description('pools of instances');
	addTargetFlags(group.command('list').description('list all')).action(
		async (flags: TargetFlags) =>
			callAndPrint({method: 'GET', path: '/v1/pools'}, flags, io, (fields) =>
				(fields.pools as readonly Fields[]).flatMap((pool) => formatPool(pool)),
			),
	);
	addTargetFlags(group.command('show').argument('<pool>'))
		.description('show instances, services and the contracts that limit them')
		.action(async (pool: string, flags: TargetFlags) => {
			const path = `/v1/pools/${encodeURIComponent(pool)}`;
			await callAndPrint({method: 'GET', path}, flags, io, (fields) => {
				const shown = fields.pool as Fields;
				const instances = shown.instances as readonly Fields[];
				return [
					...formatPool(shown),
					...instances.map(
						(each) =>
							`  ${formatValue(each.id)} ${formatValue(each.address)} ${formatValue(each.availabilityZone)}/${formatValue(each.rack)} ${formatValue(each.state)}`,
					),
				];
			});
		});
};

const registerEntries = (program: Command, io: Io) => {
	const group = program.command('entry').description('entries of the fleet');
	addTargetFlags(group.command('list').description('list all')).action(
		async (flags: TargetFlags) =>
			callAndPrint({method: 'GET', path: '/v1/entries'}, flags, io, (fields) =>
				(fields.entries as readonly Fields[]).map((entry) =>
					formatEntry(entry),
				),
			),
	);
	addTargetFlags(group.command('forget').argument('<entry>'))
		.description('confirm that an entry has terminated')
		.requiredOption('--if-match <version>', 'version that "list" showed')
		.action(async (entry: string, flags: TargetFlags & {ifMatch: string}) =>
			callAndPrint(
				{
					method: 'DELETE',
					path: `/v1/entries/${encodeURIComponent(entry)}`,
					headers: {'if-match': flags.ifMatch},
				},
				flags,
				io,
				() => [`${entry}: forgotten`],
			),
		);
};

type ListFlags = TargetFlags & {object?: string; id?: string; limit?: string};

const registerChanges = (program: Command, io: Io) => {
	const group = program.command('change').description('history of changes');
	addTargetFlags(group.command('list').description('list, newest first'))
		.option('--object <object>', 'only of one, such as contract/brokers')
		.option('--id <id>', 'only the operation with this id')
		.option('--limit <count>', 'how many')
		.action(async (flags: ListFlags) => {
			const query = new URLSearchParams();
			for (const name of ['object', 'id', 'limit'] as const) {
				const value = flags[name];
				if (value !== undefined) {
					query.set(name, value);
				}
			}

			const path = `/v1/changes?${query.toString()}`;
			await callAndPrint({method: 'GET', path}, flags, io, (fields) =>
				(fields.changes as readonly Fields[]).map((delta) =>
					formatChange(delta),
				),
			);
		});
	addTargetFlags(group.command('show').argument('<revision>'))
		.description('show one and where it is in force')
		.option('--wait <ms>', 'wait until in force on every entry')
		.action(async (revision: string, flags: TargetFlags & {wait?: string}) => {
			const path = `/v1/changes/${encodeURIComponent(revision)}?wait=${encodeURIComponent(flags.wait ?? '0')}`;
			await callAndPrint({method: 'GET', path}, flags, io, (fields) => [
				formatChange(fields.change as Fields),
				...formatInForce(fields),
			]);
		});
};

const formatMove = (move: Fields): readonly string[] => {
	const pending = move.lagging as readonly Fields[];
	return [
		`${formatValue(move.instance)}: ${formatValue(move.from)} to ${formatValue(move.to)}, by ${formatValue(move.author)}`,
		...pending.map(
			(entry) =>
				`  waits for ${formatValue(entry.entry)}: ${formatValue(entry.reason)}`,
		),
	];
};

const registerMoves = (program: Command, io: Io) => {
	const group = program.command('move').description('moves between pools');
	const getPath = (instance: string) =>
		`/v1/instances/${encodeURIComponent(instance)}/move`;
	const formatStep = (fields: Fields) => [
		`${formatValue(fields.transition)}: revision ${formatValue(fields.revision)}`,
	];
	addTargetFlags(group.command('list'))
		.description('list moves in progress and the entries they wait for')
		.action(async (flags: TargetFlags) =>
			callAndPrint({method: 'GET', path: '/v1/moves'}, flags, io, (fields) =>
				(fields.moves as readonly Fields[]).flatMap((move) => formatMove(move)),
			),
		);
	addTargetFlags(group.command('start').argument('<instance>'))
		.description('drain an instance, then let it serve another pool')
		.requiredOption('--to <pool>', 'the new pool')
		.action(async (instance: string, flags: TargetFlags & {to: string}) => {
			const body = {to: flags.to};
			const path = getPath(instance);
			await callAndPrint({method: 'POST', path, body}, flags, io, formatStep);
		});
	addTargetFlags(group.command('cancel').argument('<instance>'))
		.description('let an instance serve its old pool again')
		.action(async (instance: string, flags: TargetFlags) => {
			const path = getPath(instance);
			await callAndPrint({method: 'DELETE', path}, flags, io, formatStep);
		});
};

const formatCondition = (condition: Fields): string => {
	const {kind, ...more} = condition;
	const details = Object.keys(more).length === 0 ? '' : ` ${formatValue(more)}`;
	return `${formatValue(kind)}${details}`;
};

const formatStatus = (fields: Fields): readonly string[] => {
	const view = fields.view as Fields;
	return [
		fields.ready === true ? 'ready' : 'not ready',
		`revision ${formatValue(fields.revision)}, first from ${formatValue(view.origin)}`,
		`table service: ${formatCondition(view.condition as Fields)}`,
	];
};

const registerStatus = (program: Command, io: Io) => {
	addTargetFlags(program.command('status'))
		.description('show one entry and the state of its view')
		.action(async (flags: TargetFlags) =>
			callAndPrint(
				{method: 'GET', path: '/v1/status'},
				flags,
				io,
				formatStatus,
			),
		);
};

/** Registers the fleet commands. */
export const registerFleet = (program: Command, io: Io) => {
	registerStatus(program, io);
	registerPools(program, io);
	registerMoves(program, io);
	registerEntries(program, io);
	registerChanges(program, io);
};
