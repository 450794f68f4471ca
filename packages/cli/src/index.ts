/** Parts of the command line for benches and tests. */
export * from './client/operator-client.js';
export * from './demo/run-demo.js';
