/** HTTP server of the agent for health checks and metrics. */
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import {
  addHealthRoutes, createHttpListener, createRequestMemory, internalServerLimits,
  type HealthSource,
} from '@verbenashunt/wire';

/** Maximum number of connections; few processes ask for health or metrics. */
const maxConnections = 64;
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
    ...internalServerLimits, maxConnections, memory: createRequestMemory({ maxBufferedBytes }),
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
