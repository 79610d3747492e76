/** Public API of the package, for scripts and tests. */
export * from './cli.js';
export * from './run.js';
export * from './settings/names.js';
export * from './settings/resolve.js';
export * from './declarations/load.js';
export * from './client/operator-client.js';
