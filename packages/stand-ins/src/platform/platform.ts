/** Stand-in of the platform: tables with conditional writes, objects, weights and the VM list. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  validators, type Row, type Transaction, type Vm,
} from '@verbenashunt/schema';
import {
  readBody, sendJson, serve, type StandIn,
} from '../http/server.js';

interface Faults {
  /** Everything but the VM list answers 503 without effect. */
  outage: boolean;
  delayMs: number;
  /** The next writes take effect and their answers are lost. */
  loseAnswers: number;
  /** The next writes are lost before they take effect. */
  loseRequests: number;
  writesPerSecond: number;
  readsPerSecond: number;
  weightBytesPerSecond: number;
  vmLagMs: number;
}

export interface PlatformOptions {
  host: string;
  port: number;
  vms: Vm[];
}

const sleep = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

/** Lets `rate()` calls through each second. */
function createMeter(rate: () => number) {
  let second = 0;
  let used = 0;
  return () => {
    const now = Math.floor(Date.now() / 1000);
    if (now !== second) {
      second = now;
      used = 0;
    }
    used += 1;
    return used <= rate();
  };
}

export async function startPlatform({ host, port, vms }: PlatformOptions): Promise<StandIn> {
  const tables = new Map<string, Map<string, Row>>();
  const objects = new Map<string, string>();
  let current = vms;
  let visible = vms;
  const counts = { reads: 0, writes: 0 };
  const faults: Faults = {
    outage: false,
    delayMs: 0,
    loseAnswers: 0,
    loseRequests: 0,
    writesPerSecond: 600,
    readsPerSecond: 2000,
    weightBytesPerSecond: 1e9,
    vmLagMs: 0,
  };
  const mayWrite = createMeter(() => faults.writesPerSecond);
  const mayRead = createMeter(() => faults.readsPerSecond);

  const tableOf = (name: string) => {
    const table = tables.get(name) ?? new Map<string, Row>();
    tables.set(name, table);
    return table;
  };
  const versionOf = (table: string, key: string) => tables.get(table)?.get(key)?.version ?? 0;

  function commit({ conditions, puts }: Transaction): string | undefined {
    const failed = conditions.find((c) => versionOf(c.table, c.key) !== c.version);
    if (failed) return `${failed.table}/${failed.key} is not at version ${failed.version}`;
    puts.forEach(({ table, key, value }) => {
      tableOf(table).set(key, { key, value, version: versionOf(table, key) + 1 });
    });
    return undefined;
  }

  /** Runs a write under the faults set; `effect` returns the answer to send. */
  function write(res: ServerResponse, effect: () => { status: number; body: unknown }) {
    counts.writes += 1;
    if (!mayWrite()) {
      sendJson(res, 429, { error: 'rate' });
    } else if (faults.loseRequests > 0) {
      faults.loseRequests -= 1;
      res.destroy();
    } else {
      const { status, body } = effect();
      if (faults.loseAnswers > 0) {
        faults.loseAnswers -= 1;
        res.destroy();
      } else sendJson(res, status, body);
    }
  }

  function read(res: ServerResponse, value: unknown) {
    counts.reads += 1;
    if (!mayRead()) sendJson(res, 429, { error: 'rate' });
    else sendJson(res, value === undefined ? 404 : 200, value ?? { error: 'absent' });
  }

  async function transactions(req: IncomingMessage, res: ServerResponse) {
    const transaction: unknown = JSON.parse(await readBody(req));
    if (!validators.transaction(transaction)) {
      sendJson(res, 400, { error: 'bad_transaction' });
      return;
    }
    write(res, () => {
      const conflict = commit(transaction);
      return conflict ? { status: 409, body: { error: conflict } } : { status: 200, body: {} };
    });
  }

  async function objectCalls(req: IncomingMessage, res: ServerResponse, key: string) {
    if (req.method !== 'PUT') {
      const body = objects.get(key);
      res.writeHead(body === undefined ? 404 : 200);
      res.end(body ?? '');
      return;
    }
    const body = await readBody(req);
    write(res, () => {
      objects.set(key, body);
      return { status: 200, body: {} };
    });
  }

  async function setVms(req: IncomingMessage, res: ServerResponse) {
    const list: unknown = JSON.parse(await readBody(req));
    if (!validators.vmList(list)) {
      sendJson(res, 400, { error: 'bad_list' });
      return;
    }
    current = list.vms;
    setTimeout(() => {
      visible = current;
    }, faults.vmLagMs);
    sendJson(res, 200, {});
  }

  async function weights(res: ServerResponse, bytes: number) {
    await sleep((bytes / faults.weightBytesPerSecond) * 1000);
    sendJson(res, 200, { bytes });
  }

  return serve(host, port, async (req, res, url) => {
    const [, root, a = '', b] = url.pathname.split('/').map(decodeURIComponent);
    if (root === 'faults') {
      Object.assign(faults, JSON.parse(await readBody(req)));
      sendJson(res, 200, faults);
    } else if (root === 'counts') sendJson(res, 200, counts);
    else if (root === 'vms' && req.method === 'PUT') await setVms(req, res);
    else if (root === 'vms') sendJson(res, 200, { vms: visible });
    else {
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.outage) sendJson(res, 503, { error: 'outage' });
      else if (root === 'transactions') await transactions(req, res);
      else if (root === 'objects') await objectCalls(req, res, [a, b].filter(Boolean).join('/'));
      else if (root === 'weights') await weights(res, Number(url.searchParams.get('bytes') ?? 0));
      else if (root === 'tables' && b) read(res, tables.get(a)?.get(b));
      else if (root === 'tables') {
        const prefix = url.searchParams.get('prefix') ?? '';
        const rows = [...tableOf(a).values()].filter(({ key }) => key.startsWith(prefix))
          .sort((x, y) => (x.key < y.key ? -1 : 1));
        read(res, { rows });
      } else sendJson(res, 404, { error: 'not_found' });
    }
  });
}
