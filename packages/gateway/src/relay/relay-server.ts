/** HTTP server on which other entries follow tables of the store through this entry. */
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import type { Address } from '../http/server.js';
import { encodeChanges } from './encoding.js';
import type { TableLog } from './table-log.js';

/** Path under which each table has its changes. */
export const relayPath = '/changes';
const statusOk = 200;
const statusUnavailable = 503;
/** Longest time in milliseconds for which a request waits for changes. */
const maxWaitMs = 10_000;

export interface RelayServer {
  port: number;
  close(): void;
}

/** `logOf` returns the log of a table that this entry follows, undefined for another table. */
export async function serveRelay(
  { host, port }: Address,
  logOf: (table: string) => TableLog | undefined,
): Promise<RelayServer> {
  const app = restana();
  app.get(`${relayPath}/:table`, async (req, res) => {
    const query = new URL(req.url!, 'http://relay').searchParams;
    const numberOf = (name: string) => Number(query.get(name) ?? 0) || 0;
    const waitMs = Math.min(maxWaitMs, numberOf('waitMs'));
    const table = decodeURIComponent(req.params.table!);
    const state = await logOf(table)?.changes(numberOf('after'), numberOf('era'), waitMs);
    const body = state ? encodeChanges(state) : '';
    res.statusCode = state ? statusOk : statusUnavailable;
    res.setHeader('content-type', 'application/json');
    res.setHeader('content-length', Buffer.byteLength(body));
    res.end(body);
  });
  const server = await app.start(port, host);
  return {
    port: (server.address() as AddressInfo).port,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
