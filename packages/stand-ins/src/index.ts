/** Stand-ins of the systems outside the router, for tests, the demo and the benches. */
export * from './engine/engine.js';
export * from './engine/model.js';
export * from './engine/sequences.js';
export * from './service/service.js';
export * from './link/link.js';
export * from './platform/platform.js';
export type { StandIn } from './http/server.js';
export * from './demo/processes.js';
export * from './demo/whole-path.js';
export * from './load/model/index.js';
export * from './load/tool/index.js';
