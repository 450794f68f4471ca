/** Probes returning instances, which must pass several probes in a row. */
import {connect} from 'node:net';
import type {Instance} from '@gullstand/core';
import type {Workers} from '@gullstand/ports';

/** Counts of consecutive passed probes, by instance. */
export type Probes = {
	readonly getPassed: (instance: string) => number;
	/** Probes each instance once; resets the counts of all others. */
	readonly run: (instances: readonly Instance[]) => Promise<void>;
};

/** Resolves to true if the instance answers. */
export type Probe = (instance: Instance) => Promise<boolean>;

const timeoutMs = 1000;

const probeAddress = async (address: string): Promise<boolean> => {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator);
	const port = Number(address.slice(separator + 1));
	return new Promise((resolve) => {
		const socket = connect({host, port, timeout: timeoutMs});
		const finish = (isUp: boolean) => {
			socket.destroy();
			resolve(isUp);
		};

		socket.once('connect', () => {
			finish(true);
		});
		socket.once('timeout', () => {
			finish(false);
		});
		socket.once('error', () => {
			finish(false);
		});
	});
};

/** Probes an executor by a TCP connection, a worker by a report. */
export const createProbe =
	(workers: Workers): Probe =>
	async ({id, kind, address}) => {
		if (kind === 'executor') {
			return probeAddress(address);
		}

		const report = await workers.report(id);
		return report.ok;
	};

export const createProbes = (probe: Probe): Probes => {
	let passed = new Map<string, number>();
	return {
		getPassed: (instance) => passed.get(instance) ?? 0,
		async run(instances) {
			const results = await Promise.all(
				instances.map(async (instance) => {
					const isUp = await probe(instance);
					const count = isUp ? (passed.get(instance.id) ?? 0) + 1 : 0;
					return [instance.id, count] as const;
				}),
			);
			passed = new Map(results);
		},
	};
};
