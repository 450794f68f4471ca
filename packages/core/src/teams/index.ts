/** Teams: keys and caps. */
export type * from './team.js';
export * from './key-check.js';
export * from './cap-share.js';
export * from './resources.js';
