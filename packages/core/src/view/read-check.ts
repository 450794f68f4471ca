/**
 * Judges each read of the revision counter against what was seen before, so
 * that a store restored to an older state cannot take an entry back.
 */

/** What a read of the revision says to a reader that has seen `highest`. */
export type RevisionVerdict =
	| {readonly kind: 'unchanged'}
	/** Deltas `from` to `to`, both included, are to be read. */
	| {readonly kind: 'newer'; readonly from: number; readonly to: number}
	/** The store answered with an older state: use nothing of this read. */
	| {readonly kind: 'regressed'; readonly lost: number};

/**
 * Compares a read revision.
 * @param applied - Revision of the view.
 * @param highest - Highest revision that anyone credible has shown.
 * @param read - Revision that the store just answered with.
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
