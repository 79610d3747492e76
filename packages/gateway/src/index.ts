/** An entry that sends requests directly to targets; ports adapt it to the platform. */
export * from './gateway.js';
export * from './metrics.js';
export type * from './ports.js';
export * from './store/crash-table.js';
export * from './store/follow.js';
export * from './store/lease-keeper.js';
export * from './store/target-list.js';
export * from './requests/chain-watch.js';
export * from './requests/resume-queue.js';
export * from './requests/stop-window.js';
export * from './requests/progress.js';
export * from './requests/request-log.js';
export * from './routing/load-monitor.js';
export * from './routing/selector.js';
export * from './targets/target-exchanger.js';
export type * from './requests/spec.js';
