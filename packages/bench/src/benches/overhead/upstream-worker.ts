/** Worker thread with executors that answer at once. */
import {parentPort, workerData} from 'node:worker_threads';
import type {Ready} from './messages.js';
import {startUpstreams} from './upstreams.js';

const {executors} = workerData as {executors: number};
const {ports} = await startUpstreams(executors);
const ready: Ready = {ports};
parentPort?.postMessage(ready);
