/** Peer protocol, HTTP building blocks and platform client that the daemons share. */
export * from './framing.js';
export * from './connection.js';
export * from './heartbeat.js';
export * from './dial.js';
export * from './listen.js';
export * from './metrics.js';
export * from './platform.js';
export * from './health.js';
export * from './tls.js';
export * from './drain.js';
export * from './http/reset.js';
export * from './http/body.js';
export * from './http/headers.js';
export * from './http/listener.js';
export * from './http/stream.js';
export * from './exchange.js';
export * from './reachability.js';
