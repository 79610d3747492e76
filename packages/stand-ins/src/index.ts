/** Simulations of the systems around the router, for tests, the demo and benchmarks. */
export * from './engine/engine.js';
export * from './engine/model.js';
export * from './engine/sequences.js';
export * from './service/service.js';
export * from './link/link.js';
export * from './platform/platform.js';
export * from './http/free-port.js';
export type { StandIn } from './http/server.js';
export * from './demo/processes.js';
export * from './demo/cluster.js';
export * from './load/model/index.js';
export * from './load/tool/index.js';
