/** Admission control: fair queueing, deadlines and refusals. */
export * from './work-queue.js';
export * from './fair-queue.js';
export * from './priority-queue.js';
export * from './retry-after.js';
export * from './service-rate.js';
export * from './admission.js';
export * from './classes.js';
