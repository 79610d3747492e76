/** The entry's HTTP server: caller API, operator API, health checks and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import { toRefusal, type Clock } from '@verbenashunt/core';
import {
  abortResponse, addHealthRoutes, createHttpListener, isBodyUnread,
  type HealthSource, type HttpListenerOptions,
} from '@verbenashunt/wire';
import { sendRefusal } from './responses.js';

export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

export interface EntryHttpRoutes {
  health: HealthSource;
  chat: HttpHandler;
  models: HttpHandler;
  /** Handles every path under /operator/v1. */
  operators: HttpHandler;
  /** Handles every other path, as a route of a service. */
  service: HttpHandler;
}

export interface EntryHttpOptions extends HttpListenerOptions {
  host: string;
  port: number;
  /** While this returns true, each connection is closed after its current response. */
  stopping(): boolean;
}

export interface EntryHttp {
  readonly port: number;
  /** Number of responses that have not been sent completely. */
  readonly active: number;
  /** Stops listening and closes idle connections; resolves when all are closed. */
  close(): Promise<void>;
  /** Closes all connections immediately, including active ones. */
  destroy(): void;
}

/** Milliseconds to wait for the last responses to be sent before connections are closed. */
const finalResponseTimeoutMs = 1000;

/** Closes the server. If all requests were drained, only idle connections are left to close. */
export async function closeHttp(http: EntryHttp, clock: Clock, drained: boolean) {
  const cancel = clock.after(drained ? 0 : finalResponseTimeoutMs, http.destroy);
  await http.close();
  cancel();
}

export async function serveEntryHttp(
  options: EntryHttpOptions,
  routes: EntryHttpRoutes,
): Promise<EntryHttp> {
  const listener = createHttpListener(options);
  const { server } = listener;

  const withErrorHandling = (handler: HttpHandler): HttpHandler => async (req, res) => {
    if (options.stopping()) res.shouldKeepAlive = false;
    const refusal = listener.refusalOf(req);
    try {
      if (refusal) throw refusal;
      await handler(req, res);
    } catch (err) {
      if (isBodyUnread(req) || refusal) res.shouldKeepAlive = false;
      if (!res.headersSent) sendRefusal(res, toRefusal(err));
      else abortResponse(res);
    }
  };

  const app = restana({
    server, defaultRoute: withErrorHandling(routes.service), prioRequestsProcessing: false,
  });
  addHealthRoutes(app, routes.health);
  app.post('/v1/chat/completions', withErrorHandling(routes.chat));
  app.get('/v1/models', withErrorHandling(routes.models));
  app.all('/operator/v1/*', withErrorHandling(routes.operators));
  await app.start(options.port, options.host);
  return {
    port: (server.address() as AddressInfo).port,
    get active() {
      return listener.active;
    },
    close: () => new Promise((resolve) => {
      listener.stopListening(resolve);
      listener.closeIdle();
    }),
    destroy: listener.destroy,
  };
}
