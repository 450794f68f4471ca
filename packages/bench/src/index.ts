/** Parts that benches and their tests share. */
export type * from './frame/types.js';
