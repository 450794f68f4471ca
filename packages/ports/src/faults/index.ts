/** Fault injection for the ports. */
export * from './fault-control.js';
export * from './wrap.js';
