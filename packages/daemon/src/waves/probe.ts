/** Probes of instances that come back: each must pass some in a row. */
import {connect} from 'node:net';
import type {Instance} from '@gullstand/core';
import type {Workers} from '@gullstand/ports';

/** Passes in a row, by instance. */
export type Probes = {
	readonly getPassed: (instance: string) => number;
	/** Probes each once; one that is not among them begins anew. */
	readonly run: (instances: readonly Instance[]) => Promise<void>;
};

/** True if the instance answers. */
export type Probe = (instance: Instance) => Promise<boolean>;

const timeoutMs = 1000;

const probeAddress = async (address: string): Promise<boolean> => {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator);
	const port = Number(address.slice(separator + 1));
	return new Promise((resolve) => {
		const socket = connect({host, port, timeout: timeoutMs});
		const end = (isUp: boolean) => {
			socket.destroy();
			resolve(isUp);
		};

		socket.once('connect', () => {
			end(true);
		});
		socket.once('timeout', () => {
			end(false);
		});
		socket.once('error', () => {
			end(false);
		});
	});
};

/** An executor must accept a connection, a worker must report. */
export const createProbe =
	(workers: Workers): Probe =>
	async ({id, kind, address}) => {
		if (kind === 'executor') {
			return probeAddress(address);
		}

		const report = await workers.report(id);
		return report.ok;
	};

/** Creates the counts. */
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
