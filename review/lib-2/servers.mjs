/** Stand-ins of servers: a model server that holds layers on order, and an application server. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { heartbeatMs } from './deployment.mjs';

const statusOk = 200;
const statusAccepted = 202;
const statusConflict = 409;
const statusFenced = 412;
const statusBadRequest = 400;
const statusMisdirected = 421;
/** Most parts of a path. */
const maxParts = 32;
const statusUnavailable = 503;
const statusNotFound = 404;
/** Silent heartbeats after which the store removes an entry. */
const expiryHeartbeats = 3;

const readBody = async (req) => Buffer.concat(await req.toArray()).toString();

/**
 * Registers a server in the store. A heartbeat that changes nothing but `sequence` is no change of
 * the entry; the store removes the entry after three silent intervals.
 */
function keepRegistered(store, id, entryOf) {
  let sequence = 0;
  let beatAt = performance.now();
  const write = () => {
    sequence += 1;
    store.put('servers', id, { ...entryOf(), sequence });
  };
  write();
  const timer = setInterval(() => {
    beatAt = performance.now();
  }, heartbeatMs);
  return {
    write,
    /** The server is silent from now on; `isReplaced` tells whether its entry is written anew. */
    stop(isReplaced) {
      clearInterval(timer);
      setTimeout(() => {
        if (!isReplaced()) store.remove('servers', id);
      }, beatAt + expiryHeartbeats * heartbeatMs - performance.now()).unref();
    },
  };
}

const entryOf = (service, address, slots) => ({
  service, address, zone: 'zone-a', version: 'v1', slots, state: 'ready', coldRemainingMs: 0,
});

/** Listens with `handle`; `kill` ends it as a killed process ends. */
async function listen(handle) {
  const server = createServer(handle);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${server.address().port}`,
    kill() {
      server.close();
      server.closeAllConnections();
    },
  };
}

const stampOf = (req, id) => ({
  'Request-Id': req.headers['request-id'], 'Server-Stamp': `${id}.${req.headers['request-id']}`,
});

/** Ranges that the live model servers hold, by address. */
const heldByAddress = new Map();

/** Parses `Hop-Count`; without it, the server itself serves all layers. */
const parseHops = (text, address, layers) => (text === undefined
  ? [{ address, from: 0, to: layers }]
  : text.split(',').map((entry) => {
    const [, hop, from, to] = /^(.+)=(\d+)-(\d+)$/.exec(entry.trim());
    return { address: hop, from: Number(from), to: Number(to) };
  }));

/**
 * A model server. It starts empty and takes `place` orders. `runs` is called with the id of each
 * request that it runs.
 */
export async function startModelServer(store, {
  id, service, layers, kind, loadMs, events, eventMs, runs,
}) {
  const born = Date.now();
  let held;
  let isBusy = false;
  let sequence = 0;
  let fence = 0;
  let active = 0;
  const live = { isOver: false };

  const state = () => ({ layers: held ?? null, routeType: kind, born });

  async function place({
    from, to, fencingToken = 0, expectedRevision = sequence,
  }, res) {
    if (fencingToken < fence) res.writeHead(statusFenced).end();
    else if (isBusy || expectedRevision !== sequence) res.writeHead(statusConflict).end();
    else {
      fence = Math.max(fence, fencingToken);
      sequence += 1;
      isBusy = true;
      res.writeHead(statusAccepted).end();
      await sleep(loadMs);
      if (live.isOver) return;
      held = { from, to, version: 1 };
      isBusy = false;
      /* eslint-disable no-use-before-define -- set before any order */
      heldByAddress.set(address, held);
      registration.write();
      /* eslint-enable no-use-before-define */
    }
  }

  async function sendEvents(res, next) {
    if (res.destroyed) return;
    if (next > events) {
      res.end();
      return;
    }
    res.write(`id: ${next}\ndata: token ${next}\n\n`);
    await sleep(eventMs);
    await sendEvents(res, next + 1);
  }

  async function stream(req, res) {
    // eslint-disable-next-line no-use-before-define -- set before any request
    const hops = parseHops(req.headers['hop-count'], address, layers);
    if (hops.length > maxParts) {
      const text = `${hops.length} parts`;
      res.writeHead(statusBadRequest, { ...stampOf(req, id), 'Content-Length': text.length });
      res.end(text);
      return;
    }
    const wrong = hops.find((hop) => {
      const range = heldByAddress.get(hop.address);
      return range === undefined || hop.from < range.from || hop.to > range.to;
    });
    if (wrong) {
      const status = heldByAddress.has(wrong.address) ? statusMisdirected : statusUnavailable;
      res.writeHead(status, {
        ...stampOf(req, id), 'Not-Executed': '1', 'At-Server': wrong.address,
      }).end();
      return;
    }
    runs(req.headers['request-id']);
    active += 1;
    res.once('close', () => {
      active -= 1;
    });
    res.writeHead(statusOk, { ...stampOf(req, id), 'Content-Type': 'text/event-stream' });
    await sendEvents(res, Number(req.headers['last-event-id'] ?? 0) + 1);
  }

  async function handle(req, res) {
    const body = await readBody(req);
    const instance = req.headers['target-instance'];
    if (instance !== undefined && instance !== id) {
      res.writeHead(statusMisdirected, { 'Not-Executed': '1' }).end();
    } else if (req.url === '/api/report') {
      res.writeHead(statusOk, { 'Content-Type': 'application/json' }).end(JSON.stringify({
        ...state(),
        busy: isBusy,
        sequence,
        queued: 0,
        active,
        kvUsed: 0,
        kvTotal: 1e6,
        pace: 1,
        stalled: [],
      }));
    } else if (req.url === '/api/order') await place(JSON.parse(body), res);
    else await stream(req, res);
  }

  const { address, kill } = await listen(handle);
  const registration = keepRegistered(store, id, () => ({
    ...entryOf(service, address, 134), ...state(),
  }));
  return {
    id,
    get held() {
      return held;
    },
    /** Number of streams that it runs as their first server. */
    get active() {
      return active;
    },
    kill(isReplaced = () => false) {
      live.isOver = true;
      heldByAddress.delete(address);
      registration.stop(isReplaced);
      kill();
    },
  };
}

/**
 * An application server that answers each request after `workMs`; with `answerBytes`, with so many
 * bytes and without a length or chunks, so that the answer ends with its connection.
 */
export async function startAppServer(store, {
  id, service, workMs, answerBytes = 0, runs,
}) {
  const born = Date.now();

  async function handle(req, res) {
    const body = await readBody(req);
    const instance = req.headers['target-instance'];
    if (instance !== undefined && instance !== id) {
      res.writeHead(statusMisdirected, { 'Not-Executed': '1' }).end();
      return;
    }
    if (req.url === '/api/report') {
      res.writeHead(statusNotFound, { 'Content-Length': 0 }).end();
      return;
    }
    if (req.headers['request-id'] === undefined) {
      res.writeHead(statusUnavailable, { 'Not-Executed': '1' }).end();
      return;
    }
    runs(req.headers['request-id']);
    await sleep(workMs);
    const text = `answer to ${req.method} ${req.url} ${body}`;
    if (res.destroyed) return;
    if (answerBytes > 0) {
      res.shouldKeepAlive = false;
      res.useChunkedEncodingByDefault = false;
      res.writeHead(statusOk, stampOf(req, id)).end(Buffer.alloc(answerBytes, 'a'));
      return;
    }
    res.writeHead(statusOk, { ...stampOf(req, id), 'Content-Length': text.length }).end(text);
  }

  const { address, kill } = await listen(handle);
  const registration = keepRegistered(store, id, () => ({
    ...entryOf(service, address, 6), born,
  }));
  return {
    id,
    kill(isReplaced = () => false) {
      registration.stop(isReplaced);
      kill();
    },
  };
}
