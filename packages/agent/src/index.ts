/** Public API of the agent daemon. */
export * from './agent.js';
export * from './targets/engine-target.js';
export * from './targets/service-target.js';
export * from './stages/stage-table.js';
export * from './calls/call-table.js';
export * from './peers/entries.js';
export * from './orders/engine-order-client.js';
export * from './orders/lease.js';
export * from './orders/reconciler.js';
