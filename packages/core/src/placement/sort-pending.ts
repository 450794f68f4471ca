/**
 * Order in which pending jobs are placed: urgent jobs by age, then jobs of the
 * customer with the smallest dominant share of its quota (dominant resource
 * fairness), then by age.
 * Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
 */
import type {Job, Resources} from '../types/job.js';
import * as clusters from './cluster.js';
import * as resources from './resources.js';

/** Quota of each customer, from its contract. */
export type Quotas = ReadonlyMap<string, Resources>;

/**
 * Dominant share of its quota that a customer uses, from 0; 1 without a quota.
 */
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

/** Sorts pending jobs. The order is valid until a job is placed or ends. */
export const sortPending = <Pending extends Job>(
	cluster: clusters.Cluster,
	pending: readonly Pending[],
	quotas: Quotas,
): Pending[] => {
	const shares = new Map<string, number>();
	const getShare = (customer: string): number => {
		const cached = shares.get(customer);
		if (cached !== undefined) {
			return cached;
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
