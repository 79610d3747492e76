/** Stand-in of a model engine: one process that holds a layer range and serves it over HTTP. */
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
  /** Refuse orders that carry an older fencing number than one seen. */
  checksFencing: boolean;
  maxBatch: number;
  batchShare: number;
  /** Milliseconds by which the reported load lags. */
  loadLagMs: number;
  cacheBlocks: number;
  cacheEventDelayMs: number;
  cacheEventGapEvery: number;
  /** Milliseconds for which a session that lost its connection is kept. */
  resumeGraceMs: number;
  /** Milliseconds to load one layer. */
  loadMsPerLayer: number;
}

/** Faults that a test sets over HTTP; each stays until set again. */
interface Faults {
  /** No iteration runs and no answer leaves. */
  frozen: boolean;
  /** Factor on the time of each iteration. */
  slowdown: number;
  /** Orders take effect and their answer is lost. */
  loseOrderAnswers: boolean;
  /** The process exits when a prompt contains these tokens in order. */
  crashOnTokens: number[];
}

const contains = (all: readonly number[], part: readonly number[]) => part.length > 0
  && all.some((_, i) => part.every((token, j) => all[i + j] === token));

export async function startEngine(options: EngineOptions): Promise<StandIn> {
  let { loaded } = options;
  let fencing = 0;
  let role = 'serve';
  const orders: EngineOrder[] = [];
  const adapters: string[] = [];
  const faults: Faults = {
    frozen: false, slowdown: 1, loseOrderAnswers: false, crashOnTokens: [],
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
  let reported = { active: 0, queued: 0 };

  const lag = setInterval(() => {
    reported = { active: store.size, queued: batcher.queued };
  }, Math.max(1, options.loadLagMs));

  function accept(op: EngineOp, reply: (out: EngineOut) => void) {
    if (op.op === 'cancel') {
      batcher.cancel(op.seq);
      store.drop(op.seq);
      return;
    }
    // The crash under test is of the engine, as an out-of-memory kill would be.
    if (contains(op.tokens ?? [], faults.crashOnTokens)) process.kill(process.pid, 'SIGKILL');
    const cached = cache.match(op.tokens ?? op.hidden ?? []);
    batcher.add({ op, cached, done: () => reply(store.run(op)) });
  }

  /** Serves a connection of a session; one without a session's name cannot be resumed. */
  function stream(req: IncomingMessage, res: ServerResponse, url: URL) {
    const name = url.searchParams.get('session');
    const after = Number(url.searchParams.get('after') ?? 0);
    if (name && after > 0 && !sessions.has(name)) {
      sendJson(res, 404, { error: 'unknown_session' });
      return;
    }
    const session = sessions.open(name ?? randomUUID());
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
      if (session.take(op)) accept(op, session.output);
    });
    lines.on('error', () => res.destroy());
    lines.on('close', () => res.end());
    // A caller that dies leaves its request without an end; the answer closes in every case.
    res.on('close', () => session.detach(send, name ? options.resumeGraceMs : 0));
    session.attach(send, after);
  }

  function carryOut(order: EngineOrder) {
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

  async function takeOrder(req: IncomingMessage, res: ServerResponse) {
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
    carryOut(order);
    if (faults.loseOrderAnswers) res.destroy();
    else sendJson(res, 200, { fencing });
  }

  const status = (): EngineStatus => ({
    loaded, accelerator: options.accelerator, ...reported, fencing,
  });

  const standIn = await serve(options.host, options.port, async (req, res, url) => {
    const [, root, id = '', action] = url.pathname.split('/');
    if (root === 'stream') stream(req, res, url);
    else if (root === 'status') sendJson(res, 200, status());
    else if (root === 'orders' && req.method === 'POST') await takeOrder(req, res);
    else if (root === 'orders') sendJson(res, 200, { orders, adapters, role });
    else if (root === 'events') sendJson(res, 200, { events: cache.events(Number(url.searchParams.get('after') ?? 0)) });
    else if (root === 'runs') sendJson(res, 200, { layerRuns: store.layerRuns, sequences: store.size });
    else if (root === 'sequences' && action === 'export') {
      const kv = store.exportKv(decodeURIComponent(id));
      sendJson(res, kv ? 200 : 404, kv ?? { error: 'unknown_sequence' });
    } else if (root === 'sequences' && action === 'import') {
      const kv: unknown = JSON.parse(await readBody(req));
      const isHeld = validators.kvExport(kv)
        && loaded.some((r) => r.model === kv.model && r.lo <= kv.lo && r.hi >= kv.hi);
      if (isHeld) store.importKv({ ...kv, seq: decodeURIComponent(id) });
      sendJson(res, isHeld ? 200 : 409, isHeld ? {} : { error: 'not_loaded' });
    } else if (root === 'faults') {
      Object.assign(faults, JSON.parse(await readBody(req)));
      sendJson(res, 200, faults);
    } else sendJson(res, 404, { error: 'not_found' });
  });
  return {
    url: standIn.url,
    close() {
      clearInterval(lag);
      return standIn.close();
    },
  };
}
