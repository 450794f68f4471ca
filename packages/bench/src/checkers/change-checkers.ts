/** Judge of contract changes: what entries answer, probed from outside. */
import type {Checker, ProbeRecord} from './records.js';

/** Time within which an accepted change is in force everywhere. */
export const inForceBoundMs = 15_000;

const groupByEntry = (
	probes: readonly ProbeRecord[],
): ReadonlyMap<string, readonly ProbeRecord[]> => {
	const groups = new Map<string, ProbeRecord[]>();
	for (const probe of probes) {
		const group = groups.get(probe.entry) ?? [];
		group.push(probe);
		groups.set(probe.entry, group);
	}

	return groups;
};

/** An accepted change is in force everywhere in time and never reverts. */
export const checkChanges: Checker = ({probes, acceptances}) => {
	const violations: string[] = [];
	for (const [entry, group] of groupByEntry(probes)) {
		let highest = 0;
		for (const {at, change} of group) {
			if (change < highest) {
				violations.push(`${entry}: went back from ${highest} to ${change}`);
			}

			highest = Math.max(highest, change);
			const due = acceptances.findLast(
				(each) => each.at + inForceBoundMs <= at,
			);
			if (due && change < due.change) {
				violations.push(`${entry}: ${change} while ${due.change} is due`);
			}
		}
	}

	return {checked: probes.length, violations};
};
