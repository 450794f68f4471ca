/** Budgets: how much of each service may be away at once. */
export * from './row-write.js';
export * from './terms.js';
export * from './ledger.js';
export * from './reserve.js';
export * from './withdraw-instances.js';
export * from './return-instance.js';
export * from './move-ledgers.js';
export * from './lost-instances.js';
export * from './read-back.js';
