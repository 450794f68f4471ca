/** Formats plans, progress and waits of waves as text. */
import type {waves} from '@gullstand/core';

/** An entry's answer about a wave. */
export type WaveStatus = {
	readonly wave: waves.Wave;
	readonly counts: waves.Progress['counts'];
	readonly waits: readonly waves.WaveWait[];
};

/** An entry's answer about a plan. */
export type WavePlan = {
	readonly wave: waves.Wave;
	readonly preview: waves.PreviewResult;
};

const minuteMs = 60_000;
const minutesPerHour = 60;
const barWidth = 30;
const maxShownDomains = 12;

/** Formats a duration, such as `2 h 05 min`. */
export const formatDuration = (durationMs: number): string => {
	const minutes = Math.round(durationMs / minuteMs);
	const hours = Math.floor(minutes / minutesPerHour);
	const rest = String(minutes % minutesPerHour);
	return hours > 0 ? `${hours} h ${rest.padStart(2, '0')} min` : `${rest} min`;
};

/** Formats a bar of the instances that are done or skipped. */
export const formatBar = ({wave, counts}: WaveStatus): string => {
	const finished = counts.done + counts.skipped;
	const share = wave.instances === 0 ? 1 : finished / wave.instances;
	const filled = Math.round(share * barWidth);
	const bar = '#'.repeat(filled).padEnd(barWidth, '.');
	const away = counts.evacuating + counts.taken;
	const skipped = counts.skipped > 0 ? `, ${counts.skipped} left out` : '';
	return `[${bar}] ${counts.done}/${wave.instances} done, ${away} at work${skipped}, ${wave.state}`;
};

const formatBudget = (
	refusal: Extract<waves.WaveWait, {kind: 'budget'}>['refusal'],
): string => {
	switch (refusal.kind) {
		case 'max-away': {
			const {service, customer, maxAway, planned, lost} = refusal;
			return `service ${service}: ${planned} away and ${lost} lost of ${maxAway} that contract ${customer} allows`;
		}

		case 'keep-executors': {
			const {service, customer, keepExecutors, serving, reserve} = refusal;
			const held = reserve > 0 ? ` and ${reserve} in reserve` : '';
			return `service ${service}: ${serving} serve, contract ${customer} keeps ${keepExecutors}${held}`;
		}

		case 'not-serving': {
			return `instance ${refusal.instance} does not serve`;
		}

		case 'no-ledger': {
			return `service ${refusal.service} has no ledger yet`;
		}
	}
};

/** Formats one thing that a wave waits for, as a line. */
export const formatWait = (wait: waves.WaveWait): string => {
	switch (wait.kind) {
		case 'paused': {
			return 'paused by an operator';
		}

		case 'budget': {
			return `pool ${wait.pool}: ${formatBudget(wait.refusal)}`;
		}

		case 'put-off': {
			return `pool ${wait.pool}: ${wait.instances} put off, emptying them now costs more than the delay`;
		}

		case 'job': {
			const {instance, job, remainingMs, isMovable} = wait;
			const fixed = isMovable ? '' : ', which may not be repeated';
			return `${instance}: job ${job}${fixed}, about ${formatDuration(remainingMs)} left`;
		}

		case 'drain': {
			const {lagging = []} = wait as {lagging?: Array<{entry: string}>};
			const names = lagging.map(({entry}) => entry).join(' ');
			const who = names === '' ? '' : `, entries: ${names}`;
			return `${wait.instance}: drains since ${formatDuration(wait.sinceMs)}${who}`;
		}

		case 'restart': {
			return `${wait.instance}: away since ${formatDuration(wait.sinceMs)}`;
		}

		case 'proof': {
			return `${wait.instance}: listed again, its probes have not all passed`;
		}

		case 'lost': {
			return `${wait.instance}: did not come back in time, counts as lost`;
		}
	}
};

/** Formats progress and waits, as lines. */
export const formatStatus = (status: WaveStatus): readonly string[] => [
	`wave ${status.wave.id} over ${status.wave.pools.join(', ')}`,
	formatBar(status),
	...status.waits.map((wait) => `  waits: ${formatWait(wait)}`),
];

/** Formats the order, expected end, moves and limits of a plan, as lines. */
export const formatPlan = ({wave, preview}: WavePlan): readonly string[] => {
	const {order, durationMs, moves, held, skipped, holdUps} = preview;
	const more = order.length - maxShownDomains;
	return [
		`wave ${wave.id}: ${wave.instances} instances in ${wave.domains} racks`,
		`expected end after ${formatDuration(durationMs)}, ${moves} moves (${held} held until there is room)`,
		...order
			.slice(0, maxShownDomains)
			.map(
				({domain, instances, afterMs}) =>
					`  after ${formatDuration(afterMs)}: ${domain}: ${instances.join(' ')}`,
			),
		...(more > 0 ? [`  and ${more} more steps`] : []),
		...holdUps.map(
			({pool, rounds, customers}) =>
				`  pool ${pool}: ${rounds} rounds by contract ${customers.join(', ')}`,
		),
		...(skipped.length > 0
			? [`  would be left out at the deadline: ${skipped.join(' ')}`]
			: []),
	];
};
