/** The entry daemon as a library. */
export * from './entry.js';
export * from './requests/generation.js';
export * from './requests/service-call.js';
export * from './requests/registry.js';
export * from './config/store.js';
export * from './label-pairs.js';
export * from './peers/agents.js';
export * from './config/propagator.js';
export * from './requests/fences.js';
export * from './usage/log.js';
export * from './usage/meter.js';
export * from './usage/totals.js';
export * from './admission/admission.js';
