/**
 * The parts of undici that the daemon uses. The whole package also loads caches, mocks, fetch and
 * WebSockets, which costs time at each start and memory.
 */
export { default as buildConnector } from 'undici/lib/core/connect.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
