/** Public API of the core: pure decisions, no I/O, no clock, no randomness. */
export type * from './types/contract.js';
export type * from './types/service.js';
export type * from './types/instance.js';
export type * from './types/view.js';
export type * from './types/outcome.js';
export type * from './types/result.js';
export {requestClasses} from './types/contract.js';
export {instanceStates} from './types/instance.js';
export {emptyView} from './types/view.js';
export {outcomes} from './types/outcome.js';
export {fail, succeed} from './types/result.js';
export * as errors from './errors/error-table.js';
export * as viewChange from './view/view-change.js';
export * as followedView from './view/followed-view.js';
export * as readCheck from './view/read-check.js';
export * as viewDiff from './view/view-diff.js';
export * as viewIndex from './view/view-index.js';
export * as servicePromise from './contracts/service-promise.js';
export * as contractValidation from './contracts/contract-validation.js';
export * as contractCheck from './contracts/contract-check.js';
export * as poolCheck from './contracts/pool-check.js';
export * as budget from './budget/index.js';
export * as health from './health/outlier-detection.js';
export * as healthConfig from './health/health-config.js';
export * as executorWeights from './health/weights.js';
export * as retry from './retry/retry-decision.js';
export * as retryBudget from './retry/retry-budget.js';
export * as connectionReuse from './connections/reuse.js';
export * as unresponsiveConnections from './connections/unresponsive.js';
export * as jobPhases from './job-phases/index.js';
export * as attemptOutcome from './outcome/attempt-outcome.js';
export * as idempotency from './idempotency/index.js';
export type * from './types/store-write.js';
export {
	agreementTables,
	checkVersion,
	singleRowKey,
} from './types/store-write.js';
export * as acknowledgement from './membership/acknowledgement.js';
export * as registration from './membership/registration.js';
export * as pendingAcknowledgements from './membership/pending-acknowledgements.js';
export * as monitoredPeers from './membership/monitored-peers.js';
export * as periods from './membership/periods.js';
export * as observation from './membership/observation.js';
export * as membershipStatus from './membership/membership-status.js';
export * as forgetEntry from './membership/forget-entry.js';
export * as transition from './instances/transition.js';
export * as move from './instances/move.js';
export * as shardLease from './shards/shard-lease.js';
export * as earlierHolders from './shards/earlier-holders.js';
export * as queueHome from './shards/queue-home.js';
export * as store from './store/index.js';
export * as waves from './waves/index.js';
export * as admission from './admission/admission.js';
export * as tokenBucket from './admission/token-bucket.js';
export * as failureAttribution from './failure-attribution/failure-attribution.js';
export * as creditBorrower from './limits/borrower.js';
export * as creditSlots from './limits/borrower-slots.js';
export * as creditCoordinator from './limits/coordinator.js';
export * as creditMessages from './limits/messages.js';
export * as powerOfTwo from './limits/power-of-two.js';
export * as rendezvous from './limits/rendezvous.js';
export * as staticShare from './limits/static-share.js';
export type {Borrower, PoolMembers} from './limits/borrower.js';
export type {CreditCoordinator} from './limits/coordinator-ledger.js';
export type {
	CreditGrant,
	CreditReport,
	CreditSettings,
} from './limits/messages.js';
export * as creditLedger from './limits/coordinator-ledger.js';
export * as poolLimits from './limits/pool-limits.js';
export type {
	CreditEnvelope,
	CreditMessage,
	PoolLimits,
} from './limits/pool-limits.js';
export * as unresponsiveMembers from './limits/unresponsive-members.js';
export type * from './types/job.js';
export * as placement from './placement/index.js';
export * as shardAssignment from './shards/shard-assignment.js';
export * as candidates from './shards/candidates.js';
export * as jobs from './jobs/index.js';
export * as scheduler from './scheduler/index.js';
export * as fleet from './fleet/index.js';
export * as teams from './teams/index.js';
