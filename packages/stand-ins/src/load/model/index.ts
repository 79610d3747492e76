/** Simulation of the router's routing and admission decisions in virtual time. */
export * from './event-loop.js';
export * from './fleets.js';
export * from './policies.js';
export * from './random.js';
export * from './results.js';
export * from './run.js';
export * from './spec.js';
