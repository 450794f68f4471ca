/** Checks contract changes by the answers of entries to outside probes. */
import type {Checker, ProbeRecord} from './records.js';

/** Time within which an accepted change must be in force on every entry. */
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

/** Checks that an accepted change is in force in time and never reverts. */
export const checkChanges: Checker = ({probes, acceptances}) => {
	const violations: string[] = [];
	for (const [entry, group] of groupByEntry(probes)) {
		let highest = 0;
		for (const {at, change} of group) {
			if (change < highest) {
				violations.push(
					`${entry}: reverted from change ${highest} to ${change}`,
				);
			}

			highest = Math.max(highest, change);
			const due = acceptances.findLast(
				(each) => each.at + inForceBoundMs <= at,
			);
			if (due && change < due.change) {
				violations.push(
					`${entry}: follows change ${change} while ${due.change} is due`,
				);
			}
		}
	}

	return {checked: probes.length, violations};
};
