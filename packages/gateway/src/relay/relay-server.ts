/**
 * HTTP server for other entries, on which they follow tables of the store through this entry,
 * announce rows of their own, take tokens of the buckets that this entry keeps, and send their
 * loads.
 */
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import {
  createBodyReader, createHttpListener, createRequestMemory, internalServerLimits,
} from '@verbenashunt/wire';
import { announcementPath, type AnnouncedRow } from './announcements.js';
import type { Address } from '../http/server.js';
import { encodeChanges } from './encoding.js';
import { addLoadRoutes, type LoadReceiver } from '../load/load-server.js';
import { tokenPath, type RateLimiter } from '../targets/rate-limiter.js';
import type { TableLog } from './table-log.js';

/** Path under which each table has its changes. */
export const relayPath = '/changes';
const statusOk = 200;
const statusNoContent = 204;
const statusBadRequest = 400;
const statusUnavailable = 503;
/** Maximum size in bytes of an announced row, as in the store. */
const maxRowBytes = 64 * 1024;
/** Limit on the memory in bytes of all requests that are being received or wait for answers. */
const maxBufferedBytes = 4 * 1024 * 1024;
/** Maximum number of connections of other entries, each of which keeps a few open. */
const maxConnections = 256;
/** Longest time in milliseconds for which a request waits for changes. */
const maxWaitMs = 10_000;

export interface RelayServer {
  port: number;
  close(): void;
}

export interface RelayServerDeps {
  /** Returns the log of a table that this entry follows, undefined for another table. */
  logOf(table: string): TableLog | undefined;
  /** Called with a row that another entry announces. */
  onAnnouncement(row: AnnouncedRow): void;
  /** See `RateLimiter.takeForOther`. */
  takeToken: RateLimiter['takeForOther'];
  /** Returns what takes the loads of other entries; undefined while there is nothing. */
  loadReceiver?(): LoadReceiver | undefined;
}

export async function serveRelay(
  { host, port }: Address,
  {
    logOf, onAnnouncement, takeToken, loadReceiver,
  }: RelayServerDeps,
): Promise<RelayServer> {
  const memory = createRequestMemory({ maxBufferedBytes });
  const { server } = createHttpListener({ ...internalServerLimits, maxConnections, memory });
  const app = restana({ server });
  const readBody = createBodyReader(memory);
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
  app.put(`${announcementPath}/:table/:key`, async (req, res) => {
    const { table, key } = req.params;
    const value = await readBody(req, { maxBytes: maxRowBytes });
    onAnnouncement({
      table: decodeURIComponent(table!), key: decodeURIComponent(key!), value,
    });
    res.statusCode = statusNoContent;
    res.end();
  });
  app.post(`${tokenPath}/:target`, async (req, res) => {
    const query = new URL(req.url!, 'http://relay').searchParams;
    const limitPerS = Number(query.get('limit'));
    // With a limit that is no finite number, the bucket would never hold a number again.
    if (!Number.isFinite(limitPerS) || limitPerS < 0) {
      res.statusCode = statusBadRequest;
      res.end();
      return;
    }
    const waitMs = await takeToken({
      target: decodeURIComponent(req.params.target!),
      zone: query.get('zone') ?? '',
      limitPerS,
    }, query.has('final'));
    res.statusCode = statusOk;
    res.end(String(waitMs));
  });
  if (loadReceiver) addLoadRoutes(app, readBody, loadReceiver);
  await app.start(port, host);
  return {
    port: (server.address() as AddressInfo).port,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
