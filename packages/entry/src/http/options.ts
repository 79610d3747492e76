/** Options of the HTTP server from the settings, with defaults. */
import type { EntrySettings } from '@verbenashunt/schema';
import type { RequestMemory } from '@verbenashunt/wire';
import type { EntryHttpOptions } from './server.js';

export const resolveHttpOptions = (
  cfg: EntrySettings,
  memory: RequestMemory,
  stopping: () => boolean,
): EntryHttpOptions => ({
  host: cfg.host ?? '127.0.0.1',
  port: cfg.httpPort,
  maxConnections: cfg.maxConnections ?? 10_000,
  memory,
  maxHeaderBytes: cfg.maxHeaderBytes ?? 16_384,
  headerTimeoutMs: cfg.headerTimeoutMs ?? 10_000,
  bodyTimeoutMs: cfg.bodyTimeoutMs ?? 30_000,
  keepAliveTimeoutMs: cfg.keepAliveTimeoutMs ?? 65_000,
  streamStallTimeoutMs: cfg.streamStallTimeoutMs ?? 30_000,
  ...(cfg.tlsCert && cfg.tlsKey ? { tls: { cert: cfg.tlsCert, key: cfg.tlsKey } } : {}),
  stopping,
});
