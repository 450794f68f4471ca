/** Checks the fields of a contract. */
import type {Contract, ServiceTerms} from '../types/contract.js';

const isCount = (value: number) => Number.isSafeInteger(value) && value >= 0;

const isPositive = (value: number) => Number.isFinite(value) && value > 0;

const sha256Hex = /^[\da-f]{64}$/u;

const findMalformedTerms = (
	terms: ServiceTerms,
	index: number,
): readonly string[] => {
	const checks: ReadonlyArray<readonly [keyof ServiceTerms, boolean]> = [
		['service', terms.service.length > 0],
		['keepExecutors', isCount(terms.keepExecutors)],
		['maxAway', isCount(terms.maxAway)],
		['answerWithinMs', isPositive(terms.answerWithinMs)],
		[
			'requestsPerSecond',
			terms.requestsPerSecond === 0 || isPositive(terms.requestsPerSecond),
		],
	];
	return checks
		.filter(([, isValid]) => !isValid)
		.map(([field]) => `services[${index}].${field}`);
};

/** Lists the fields with invalid values. */
export const findMalformedFields = (contract: Contract): readonly string[] => {
	const {customer, weight, tokenHashes, services, jobs} = contract;
	const fields: string[] = [];
	if (customer.length === 0) {
		fields.push('customer');
	}

	if (!isPositive(weight)) {
		fields.push('weight');
	}

	for (const [index, hash] of tokenHashes.entries()) {
		if (!sha256Hex.test(hash)) {
			fields.push(`tokenHashes[${index}]`);
		}
	}

	for (const [index, terms] of services.entries()) {
		fields.push(...findMalformedTerms(terms, index));
		if (services.findIndex((each) => each.service === terms.service) < index) {
			fields.push(`services[${index}].service`);
		}
	}

	for (const name of ['cores', 'memoryMb', 'accelerators'] as const) {
		if (jobs[name] !== 0 && !isPositive(jobs[name])) {
			fields.push(`jobs.${name}`);
		}
	}

	if (!isPositive(jobs.urgentStartMs)) {
		fields.push('jobs.urgentStartMs');
	}

	return fields;
};
