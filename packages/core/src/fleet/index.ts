/** Decisions on machines: maintenance waves and moves between pools. */
export * from './forecast/index.js';
export * from './machine-wave.js';
export * from './pool-plan.js';
