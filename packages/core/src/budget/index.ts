/** Budgets: how much of each service may be away at once. */
export * from './row-write.js';
export * from './terms.js';
export * from './ledger.js';
export * from './reserve.js';
export * from './reserve-away.js';
export * from './give-back.js';
export * from './move-ledgers.js';
export * from './loss.js';
export * from './read-back.js';
