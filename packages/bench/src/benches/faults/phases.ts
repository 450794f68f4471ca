/** The phases of the bench, each with one fault. */
import type {executor} from '@gullstand/stand-in';

/** A phase with one fault. */
export type Phase = {
	readonly name: string;
	/** Load as a factor of the full rate. */
	readonly load: number;
	readonly apply: (
		executors: readonly executor.StandInExecutor[],
	) => Promise<void>;
};

const set = async (
	executors: ReadonlyArray<executor.StandInExecutor | undefined>,
	fault: executor.Fault,
): Promise<void> => {
	await Promise.all(executors.map(async (each) => each?.setFault(fault)));
};

const setZone =
	(fault: executor.Fault): Phase['apply'] =>
	async (executors) => {
		const zone = executors[0]?.availabilityZone;
		const ofZone = executors.filter((each) => each.availabilityZone === zone);
		await set(ofZone, fault);
	};

const setFirst =
	(...faults: executor.Fault[]): Phase['apply'] =>
	async (executors) => {
		await Promise.all(
			faults.map(async (fault, index) => executors[index]?.setFault(fault)),
		);
	};

// A slow executor exceeds the deadline of every request.
const slow = {kind: 'slow', factor: 200} as const;
const reset = {kind: 'reset', share: 0.5} as const;

/** All phases; in the last one a single executor is left. */
export const phases: readonly Phase[] = [
	{name: 'none', load: 1, apply: async () => undefined},
	{name: 'slow', load: 1, apply: setFirst(slow, slow)},
	{name: 'reset', load: 1, apply: setFirst(reset, reset)},
	{
		name: 'half',
		load: 1,
		apply: setFirst(
			{kind: 'half', share: 0.5, framing: 'length'},
			{kind: 'half', share: 0.5, framing: 'chunked'},
		),
	},
	{name: 'refuse', load: 1, apply: setFirst({kind: 'refuse', share: 1})},
	{
		name: 'silentOld',
		load: 1,
		apply: async (executors) => set(executors, {kind: 'silent-old'}),
	},
	{name: 'zoneGone', load: 1, apply: setZone({kind: 'gone'})},
	{name: 'zoneHang', load: 1, apply: setZone({kind: 'hang'})},
	{
		name: 'oneLeft',
		load: 0.2,
		apply: async (executors) => set(executors.slice(1), {kind: 'gone'}),
	},
];

/** Clears the faults of all executors. */
export const clearFaults: Phase['apply'] = async (executors) =>
	set(executors, {kind: 'none'});
