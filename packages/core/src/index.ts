/** Decisions of the router, without I/O: time, random numbers and messages are passed in. */
export * from './clock/clock.js';
export * from './errors/errors.js';
export * from './errors/refusals.js';
export * from './routing/chain.js';
export * from './config/canonical.js';
export * from './config/view.js';
export * from './config/holder.js';
export * from './tokens/tokenizer.js';
export * from './ledger/admission.js';
export * from './ledger/call-ledger.js';
export * from './retry/budget.js';
export * from './retry/repair.js';
export * from './membership/detector.js';
export * from './membership/stall.js';
