/** HTTP helpers that the stand-ins share. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export type Handler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void> | void;

export interface StandIn {
  url: string;
  close(): Promise<void>;
}

export async function readBody(req: IncomingMessage): Promise<string> {
  const chunks = await req.toArray() as Buffer[];
  return Buffer.concat(chunks).toString('utf8');
}

export function sendJson(res: ServerResponse, status: number, body: unknown) {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Starts an HTTP server; a handler that throws results in a 500 response. */
export async function serve(host: string, port: number, handler: Handler): Promise<StandIn> {
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    Promise.resolve(handler(req, res, url)).catch((err: unknown) => {
      if (!res.headersSent) sendJson(res, 500, { error: String(err) });
      else res.destroy();
    });
  });
  server.requestTimeout = 0;
  // By default lines over a certain number are dropped.
  server.maxHeadersCount = 0;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const { port: boundPort } = server.address() as AddressInfo;
  return {
    url: `http://${host}:${boundPort}`,
    close: () => new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    }),
  };
}
