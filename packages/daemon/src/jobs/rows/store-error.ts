/** Describes failed calls to the store in log lines. */
import type {RowStoreError} from '@gullstand/ports';

/** Fields of a log line; an absent field does not apply. */
export type StoreErrorFields = {
	readonly reason: RowStoreError['kind'];
	/** HTTP status of a call that the store refuses for good. */
	readonly status?: number | undefined;
	/** Distinguishes no answer from a truncated one. */
	readonly receivedBytes?: number | undefined;
};

/** Returns the fields that tell one failure from another. */
export const describeStoreError = (error: RowStoreError): StoreErrorFields => ({
	reason: error.kind,
	receivedBytes: error.kind === 'timeout' ? error.receivedBytes : undefined,
	...(error.kind === 'rejected' && {status: error.status}),
});
