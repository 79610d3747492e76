/** Decision logic of an entry that calls targets directly, without agents on their VMs. */
export * from './chain-choice.js';
export * from './config.js';
export * from './events.js';
export * from './group-by.js';
export * from './health.js';
export * from './lapse.js';
export * from './lease.js';
export * from './priority.js';
export * from './restored-rows.js';
export * from './retry-decision.js';
export * from './retry-loans.js';
export * from './retry-window.js';
export * from './stream-end.js';
export * from './target-pauses.js';
export * from './target-rate-limits.js';
export * from './targets.js';
