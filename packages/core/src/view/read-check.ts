/**
 * Checks each read of the revision counter against earlier reads, so that a
 * store restored to an older state cannot revert an entry's view.
 */

/** Result of a read for a reader that knows the revision `highest`. */
export type RevisionVerdict =
	| {readonly kind: 'unchanged'}
	/** Deltas `from` to `to`, both included, must be read. */
	| {readonly kind: 'newer'; readonly from: number; readonly to: number}
	/** The store returned an older state: this read must not be used. */
	| {readonly kind: 'regressed'; readonly lost: number};

/**
 * Compares a revision read from the store with the known ones.
 * @param applied - Revision of the view.
 * @param highest - Highest revision reported by a trusted source.
 * @param read - Revision that the store returned.
 */
export const checkReadRevision = (
	applied: number,
	highest: number,
	read: number,
): RevisionVerdict => {
	const known = Math.max(applied, highest);
	if (read < known) {
		return {kind: 'regressed', lost: known - read};
	}

	return read > applied
		? {kind: 'newer', from: applied + 1, to: read}
		: {kind: 'unchanged'};
};
