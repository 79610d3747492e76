/** The entry's HTTP service: callers' API, operators' API, health and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import { addHealthRoutes, type HealthSource } from '@verbenashunt/wire';
import { sendRefusal, toRefusal } from './answers.js';

export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

export interface EntryHttpRoutes {
  health: HealthSource;
  chat: HttpHandler;
  models: HttpHandler;
  /** Every path under /operator/v1. */
  operators: HttpHandler;
  /** Every other path: routes of plain services. */
  service: HttpHandler;
}

export interface EntryHttp {
  readonly port: number;
  close(): Promise<unknown>;
}

const guarded = (handler: HttpHandler): HttpHandler => async (req, res) => {
  try {
    await handler(req, res);
  } catch (err) {
    if (!res.headersSent) sendRefusal(res, toRefusal(err));
    else res.destroy();
  }
};

export async function serveEntryHttp(
  host: string,
  port: number,
  maxConnections: number,
  routes: EntryHttpRoutes,
): Promise<EntryHttp> {
  const app = restana({ defaultRoute: guarded(routes.service) });
  addHealthRoutes(app, routes.health);
  app.post('/v1/chat/completions', guarded(routes.chat));
  app.get('/v1/models', guarded(routes.models));
  app.all('/operator/v1/*', guarded(routes.operators));
  const server = await app.start(port, host);
  server.maxConnections = maxConnections;
  return {
    port: (server.address() as AddressInfo).port,
    close: () => app.close(),
  };
}
