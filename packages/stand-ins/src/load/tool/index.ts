/** Library of the load tool. */
export * from './report.js';
export * from './run-load.js';
export * from './schedule.js';
export type { GroupSummary, LoadSummary } from './summary.js';
