/** Parts of the command line that benches and tests use. */
export * from './client/operator-client.js';
export * from './demo/run-demo.js';
