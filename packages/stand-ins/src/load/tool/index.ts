/** The load tool as a library. */
export * from './report.js';
export * from './run-load.js';
export * from './schedule.js';
export type { GroupSummary, LoadSummary } from './summary.js';
