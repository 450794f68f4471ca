/** Types of benches and of their results. */
export type * from './frame/types.js';
