/** `gullstand team`: what teams are allowed, hold, use and wait for. */
import type {Command} from 'commander';
import {formatValue} from './answer.js';
import {callAndPrint, type Fields, type FormatAnswer} from './call.js';
import {addTargetFlags, type Io, type TargetFlags} from './io.js';

const millisPerCore = 1000;

const formatResources = (value: unknown): string => {
	const {cpuMillis, memoryMb, accelerators} = value as Fields;
	const cores = Number(cpuMillis) / millisPerCore;
	return `${cores} cores, ${formatValue(memoryMb)} MB, ${formatValue(accelerators)} accelerators`;
};

const isUnlimited = (cap: Fields): boolean =>
	Object.values(cap).every((each) => each === 0);

const formatShare = (share: Fields): string =>
	[
		`  ${formatValue(share.shard)}: holds ${formatResources(share.share)}`,
		`uses ${formatResources(share.used)}`,
		`waits for ${formatResources(share.waiting)}`,
		...(share.isOverCap === true
			? ['starts nothing: the shares exceed the cap']
			: []),
	].join('; ');

const formatPercent = (share: unknown): string =>
	`${Math.round(100 * Number(share))}%`;

/** Shares of the resource of which a team takes the largest part. */
const formatRoom = (room: Fields): string =>
	`  ${formatValue(room.shard)}: runs ${formatPercent(room.running)} of the room, ran ${formatPercent(room.recent)} recently, waits for ${formatPercent(room.waiting)}`;

const formatTeams: FormatAnswer = ({teams}) =>
	(teams as readonly Fields[]).flatMap((team) => [
		[
			`${formatValue(team.team)}: weight ${formatValue(team.weight)}`,
			`${formatValue(team.keys)} keys`,
			isUnlimited(team.cap as Fields)
				? 'no cap'
				: `cap ${formatResources(team.cap)}`,
		].join(', '),
		...(team.shares as readonly Fields[]).map((share) => formatShare(share)),
		// Entries of older releases do not send it.
		...((team.room ?? []) as readonly Fields[]).map((room) => formatRoom(room)),
	]);

/** Registers `gullstand team`. */
export const registerTeam = (program: Command, io: Io): void => {
	const group = program.command('team').description('teams and their caps');
	addTargetFlags(group.command('list'))
		.description('caps, and the shares of the services that this entry owns')
		.action(async (flags: TargetFlags) => {
			await callAndPrint(
				{method: 'GET', path: '/v1/teams'},
				flags,
				io,
				formatTeams,
			);
		});
};
