/** HTTP server of the agent for health checks and metrics. */
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import {
  addHealthRoutes, createHttpListener, createRequestMemory, type HealthSource,
} from '@verbenashunt/wire';

/** Limits for the few processes that ask for health or metrics. */
const limits = {
  maxConnections: 64,
  maxHeaderBytes: 16 * 1024,
  headerTimeoutMs: 10_000,
  bodyTimeoutMs: 30_000,
  keepAliveTimeoutMs: 65_000,
  streamStallTimeoutMs: 60_000,
};
/** Limit on the memory in bytes of their requests. */
const maxBufferedBytes = 1024 * 1024;

export interface AgentHttp {
  readonly port: number;
  close(): Promise<unknown>;
}

export async function serveAgentHttp(
  host: string,
  port: number,
  source: HealthSource,
): Promise<AgentHttp> {
  const listener = createHttpListener({
    ...limits, memory: createRequestMemory({ maxBufferedBytes }),
  });
  const app = restana({ server: listener.server });
  addHealthRoutes(app, source);
  await app.start(port, host);
  return {
    port: (listener.server.address() as AddressInfo).port,
    close: () => new Promise<void>((resolve) => {
      listener.stopListening(resolve);
      listener.server.closeAllConnections();
    }),
  };
}
