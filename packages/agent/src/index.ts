/** The agent daemon as a library. */
export * from './agent.js';
export * from './stages/stage-table.js';
export * from './calls/call-table.js';
export * from './peers/entries.js';
