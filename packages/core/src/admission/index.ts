/** Admission control: fair queueing, deadlines and refusals. */
export * from './fair-queue.js';
export * from './service-rate.js';
export * from './admission.js';
export * from './classes.js';
