/** Decisions on machines: maintenance waves and moves between pools. */
export * from './failed-evacuations.js';
export * from './forecast/index.js';
export * from './machine-maintenance.js';
export * from './machine-wave.js';
export * from './missing-machines.js';
export * from './pool-plan.js';
export * from './pool-spares.js';
export * from './rejected-moves.js';
