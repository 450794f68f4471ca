/** Forecast of rises of demand. */
export * from './expected-demand.js';
export * from './forecast.js';
export * from './stored-rises.js';
export type {PoolWatch, Rise, RoundTime} from './rises.js';
