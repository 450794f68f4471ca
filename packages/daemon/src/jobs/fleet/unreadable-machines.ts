/** Reports the machines whose entries in the platform's list cannot be read. */
import type {Machines} from '@gullstand/ports';
import type {RowFaults} from '../rows/row-faults.js';

/** Name of the list in log lines and metrics. */
const list = 'machines';

export const reportUnreadableMachines = (
	machines: Machines,
	rowFaults: RowFaults,
): Machines => ({
	...machines,
	async list(timeoutMs) {
		const listed = await machines.list(timeoutMs);
		if (listed.ok) {
			rowFaults.keepOnly(list, new Set(listed.value.map(({id}) => id)));
			for (const {id: key, problem} of listed.value) {
				if (problem === undefined) {
					rowFaults.clear(list, key);
				} else {
					rowFaults.report({table: list, key, problem});
				}
			}
		}

		return listed;
	},
});
