/** HTTP server of the agent for health checks and metrics. */
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import { addHealthRoutes, type HealthSource } from '@verbenashunt/wire';

export interface AgentHttp {
  readonly port: number;
  close(): Promise<unknown>;
}

export async function serveAgentHttp(
  host: string,
  port: number,
  source: HealthSource,
): Promise<AgentHttp> {
  const app = restana();
  addHealthRoutes(app, source);
  const server = await app.start(port, host);
  return {
    port: (server.address() as AddressInfo).port,
    close: () => app.close(),
  };
}
