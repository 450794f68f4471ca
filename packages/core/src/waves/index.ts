/** Maintenance waves: planner and state machine. */
export * from './settings.js';
export * from './wave.js';
export type * from './facts.js';
export type * from './action.js';
export * from './evacuation.js';
export * from './progress.js';
export * from './targets.js';
export * from './allowance.js';
export * from './choose-domain.js';
export * from './step.js';
export * from './blocker.js';
export type * from './context.js';
export * from './waits.js';
export * from './preview.js';
