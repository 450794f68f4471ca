/** Fault injection over any port. */
export * from './fault-control.js';
export * from './wrap.js';
