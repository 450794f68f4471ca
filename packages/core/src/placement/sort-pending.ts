/**
 * Which job is placed next: urgent ones by age, then the customer that holds
 * the least of its quota (dominant resource fairness), then by age.
 * Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
 */
import type {Job, Resources} from '../types/job.js';
import * as clusters from './cluster.js';
import * as resources from './resources.js';

/** Quota of each customer, from its contract. */
export type Quotas = ReadonlyMap<string, Resources>;

/** What a customer holds of its quota, from 0 to 1; 1 without a quota. */
export const getQuotaShare = (
	cluster: clusters.Cluster,
	quotas: Quotas,
	customer: string,
): number => {
	const quota = quotas.get(customer);
	return quota
		? resources.getDominantShare(
				clusters.getCustomerUsage(cluster, customer),
				quota,
			)
		: 1;
};

/** Sorts pending jobs; the order holds until a job is placed or ends. */
export const sortPending = <Pending extends Job>(
	cluster: clusters.Cluster,
	pending: readonly Pending[],
	quotas: Quotas,
): Pending[] => {
	const shares = new Map<string, number>();
	const getShare = (customer: string): number => {
		const known = shares.get(customer);
		if (known !== undefined) {
			return known;
		}

		const share = getQuotaShare(cluster, quotas, customer);
		shares.set(customer, share);
		return share;
	};

	return pending.toSorted((a, b) => {
		if (a.urgent !== b.urgent) {
			return a.urgent ? -1 : 1;
		}

		const byShare = a.urgent ? 0 : getShare(a.customer) - getShare(b.customer);
		return byShare || a.submittedAt - b.submittedAt;
	});
};
