/** Placement of layer ranges on targets, and the upper bound on its throughput. */
export * from './fleet.js';
export * from './bound.js';
export * from './flow.js';
export * from './greedy.js';
export * from './stages.js';
export * from './plan.js';
export * from './memory.js';
export * from './holders.js';
export * from './hosts.js';
export * from './chain-layout.js';
export * from './zone-plan.js';
