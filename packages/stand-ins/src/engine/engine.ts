/** Stand-in for a model engine that holds a range of layers and serves it over HTTP. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createInterface } from 'node:readline';
import {
  validators, type EngineOp, type EngineOrder, type EngineOut, type EngineStatus,
} from '@verbenashunt/schema';
import {
  readBody, sendJson, serve, type StandIn,
} from '../http/server.js';
import { createBatcher } from './batcher.js';
import { createPrefixCache } from './prefix-cache.js';
import { createSessionStore } from './sessions.js';
import { createSequenceStore, type LoadedRange } from './sequences.js';

export interface EngineOptions {
  host: string;
  port: number;
  accelerator: EngineStatus['accelerator'];
  loaded: LoadedRange[];
  /** Rejects orders with a lower fencing token than the highest one received. */
  checksFencing: boolean;
  maxBatch: number;
  batchShare: number;
  /** Interval in milliseconds at which the reported load is updated. */
  loadLagMs: number;
  cacheBlocks: number;
  cacheEventDelayMs: number;
  cacheEventGapEvery: number;
  /** Milliseconds for which a session without a connection can be resumed. */
  resumeGraceMs: number;
  /** Milliseconds to load one layer. */
  loadMsPerLayer: number;
}

/** Faults that tests set over HTTP; each stays until it is changed. */
interface Faults {
  /** Pauses the batcher: no further operation runs and no output is sent. */
  frozen: boolean;
  /** Factor on the duration of each iteration. */
  slowdown: number;
  /** Executes orders and drops their responses. */
  dropOrderResponses: boolean;
  /** Kills the process when the tokens of an operation contain this sequence. */
  crashOnTokens: number[];
}

const containsSequence = (
  tokens: readonly number[],
  sequence: readonly number[],
) => sequence.length > 0
  && tokens.some((_, i) => sequence.every((token, j) => tokens[i + j] === token));

export async function startEngine(options: EngineOptions): Promise<StandIn> {
  let { loaded } = options;
  let fencing = 0;
  let role = 'serve';
  const orders: EngineOrder[] = [];
  const adapters: string[] = [];
  const faults: Faults = {
    frozen: false, slowdown: 1, dropOrderResponses: false, crashOnTokens: [],
  };
  const store = createSequenceStore(() => loaded);
  const cache = createPrefixCache({
    blocks: options.cacheBlocks,
    delayMs: options.cacheEventDelayMs,
    gapEvery: options.cacheEventGapEvery,
  });
  const batcher = createBatcher(() => ({
    layerMsPerToken: options.accelerator.layerMsPerToken * faults.slowdown,
    layerMsPerPrefillToken: options.accelerator.layerMsPerPrefillToken * faults.slowdown,
    batchShare: options.batchShare,
    maxBatch: options.maxBatch,
  }), () => faults.frozen);
  const sessions = createSessionStore((sequences) => sequences.forEach((seq) => {
    batcher.cancel(seq);
    store.drop(seq);
  }));
  let reportedLoad = { active: 0, queued: 0 };

  const loadTimer = setInterval(() => {
    reportedLoad = { active: store.size, queued: batcher.queued };
  }, Math.max(1, options.loadLagMs));

  function runOp(op: EngineOp, reply: (out: EngineOut) => void) {
    if (op.op === 'cancel') {
      batcher.cancel(op.seq);
      store.drop(op.seq);
      return;
    }
    // SIGKILL ends the engine without cleanup, as an out-of-memory kill does.
    if (containsSequence(op.tokens ?? [], faults.crashOnTokens)) process.kill(process.pid, 'SIGKILL');
    const cachedTokens = cache.match(op.tokens ?? op.hidden ?? []);
    batcher.add({ op, cachedTokens, done: () => reply(store.run(op)) });
  }

  /** Serves one connection of a session; without a `session` parameter it cannot be resumed. */
  function handleStream(req: IncomingMessage, res: ServerResponse, url: URL) {
    const sessionId = url.searchParams.get('session');
    const after = Number(url.searchParams.get('after') ?? 0);
    if (sessionId && after > 0 && !sessions.has(sessionId)) {
      sendJson(res, 404, { error: 'unknown_session' });
      return;
    }
    const session = sessions.open(sessionId ?? randomUUID());
    const send = (out: EngineOut) => res.write(`${JSON.stringify(out)}\n`);
    res.writeHead(200, { 'content-type': 'application/x-ndjson' });
    res.flushHeaders();
    const lines = createInterface({ input: req });
    lines.on('line', (line) => {
      if (line === '') return;
      const op: unknown = JSON.parse(line);
      if (!validators.engineOp(op)) {
        res.destroy();
        return;
      }
      if (session.accept(op)) runOp(op, session.emit);
    });
    lines.on('error', () => res.destroy());
    lines.on('close', () => res.end());
    // The response's `close` also fires if the client is killed and never ends its request.
    res.on('close', () => session.detach(send, sessionId ? options.resumeGraceMs : 0));
    session.attach(send, after);
  }

  function applyOrder(order: EngineOrder) {
    orders.push(order);
    const { model = '', version = '', adapter } = order;
    if (order.kind === 'role') role = order.role ?? role;
    if (order.kind === 'unload') loaded = loaded.filter((r) => r.model !== model);
    if (order.kind === 'load' && adapter) adapters.push(adapter);
    if (order.kind === 'load' && !adapter) {
      const range = {
        model, version, lo: order.lo ?? 0, hi: order.hi ?? 1, layers: order.layers ?? 1,
      };
      loaded = [...loaded.filter((r) => r.model !== model), range];
    }
  }

  async function handleOrder(req: IncomingMessage, res: ServerResponse) {
    const order: unknown = JSON.parse(await readBody(req));
    if (!validators.engineOrder(order)) {
      sendJson(res, 400, { error: 'bad_order' });
      return;
    }
    if (options.checksFencing && order.fencing < fencing) {
      sendJson(res, 409, { error: 'old_fencing_number', fencing });
      return;
    }
    fencing = Math.max(fencing, order.fencing);
    const layers = order.kind === 'load' ? (order.hi ?? 1) - (order.lo ?? 0) : 0;
    await new Promise((resolve) => {
      setTimeout(resolve, layers * options.loadMsPerLayer);
    });
    applyOrder(order);
    if (faults.dropOrderResponses) res.destroy();
    else sendJson(res, 200, { fencing });
  }

  const getStatus = (): EngineStatus => ({
    loaded, accelerator: options.accelerator, ...reportedLoad, fencing,
  });

  const standIn = await serve(options.host, options.port, async (req, res, url) => {
    const [, resource, id = '', action] = url.pathname.split('/');
    if (resource === 'stream') handleStream(req, res, url);
    else if (resource === 'status') sendJson(res, 200, getStatus());
    else if (resource === 'orders' && req.method === 'POST') await handleOrder(req, res);
    else if (resource === 'orders') sendJson(res, 200, { orders, adapters, role });
    else if (resource === 'events') sendJson(res, 200, { events: cache.events(Number(url.searchParams.get('after') ?? 0)) });
    else if (resource === 'runs') sendJson(res, 200, { layerRuns: store.layerRuns, sequences: store.size });
    else if (resource === 'sequences' && action === 'export') {
      const kv = store.exportKv(decodeURIComponent(id));
      sendJson(res, kv ? 200 : 404, kv ?? { error: 'unknown_sequence' });
    } else if (resource === 'sequences' && action === 'import') {
      const kv: unknown = JSON.parse(await readBody(req));
      const isHeld = validators.kvExport(kv)
        && loaded.some((r) => r.model === kv.model && r.lo <= kv.lo && r.hi >= kv.hi);
      if (isHeld) store.importKv({ ...kv, seq: decodeURIComponent(id) });
      sendJson(res, isHeld ? 200 : 409, isHeld ? {} : { error: 'not_loaded' });
    } else if (resource === 'faults') {
      Object.assign(faults, JSON.parse(await readBody(req)));
      sendJson(res, 200, faults);
    } else sendJson(res, 404, { error: 'not_found' });
  });
  return {
    url: standIn.url,
    close() {
      clearInterval(loadTimer);
      return standIn.close();
    },
  };
}
