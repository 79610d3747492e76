/** Stand-in of the platform: tables with conditional writes, objects, weights and the VM list. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  validators, type Row, type Transaction, type Vm,
} from '@verbenashunt/schema';
import {
  readBody, sendJson, serve, type StandIn,
} from '../http/server.js';

/** Faults of one table alone. */
interface TableFaults {
  outage?: boolean;
  delayMs?: number;
  loseAnswers?: number;
  loseRequests?: number;
}

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
  /** The VM list answers 503. */
  vmOutage: boolean;
  /** Faults by table, on top of the others. */
  tables: Record<string, TableFaults>;
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
  let weightsFreeAt = 0;
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
    vmOutage: false,
    tables: {},
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

  /** The faults that a write meets: the common ones, and those of its tables. */
  const faultsOf = (names: readonly string[]) => [
    faults, ...names.flatMap((name) => faults.tables[name] ?? []),
  ];

  /** Uses up one of the losses that are set. */
  function lose(kind: 'loseAnswers' | 'loseRequests', names: readonly string[]): boolean {
    const set = faultsOf(names).find((fault) => (fault[kind] ?? 0) > 0);
    if (set) set[kind]! -= 1;
    return set !== undefined;
  }

  /** Waits out the delays of the tables; false when one of them has an outage. */
  async function reach(res: ServerResponse, names: readonly string[]): Promise<boolean> {
    const own = names.flatMap((name) => faults.tables[name] ?? []);
    const delayMs = Math.max(0, ...own.map((fault) => fault.delayMs ?? 0));
    if (delayMs > 0) await sleep(delayMs);
    const isUp = !own.some(({ outage }) => outage);
    if (!isUp) sendJson(res, 503, { error: 'outage' });
    return isUp;
  }

  /** Runs a write under the faults set; `effect` returns the answer to send. */
  function write(
    res: ServerResponse,
    names: readonly string[],
    effect: () => { status: number; body: unknown },
  ) {
    counts.writes += 1;
    if (!mayWrite()) {
      sendJson(res, 429, { error: 'rate' });
    } else if (lose('loseRequests', names)) {
      res.destroy();
    } else {
      const { status, body } = effect();
      if (lose('loseAnswers', names)) res.destroy();
      else sendJson(res, status, body);
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
    const rows = [...transaction.conditions, ...transaction.puts];
    const names = [...new Set(rows.map((row) => row.table))];
    if (!await reach(res, names)) return;
    write(res, names, () => {
      const conflict = commit(transaction);
      return conflict ? { status: 409, body: { error: conflict } } : { status: 200, body: {} };
    });
  }

  async function objectCalls(req: IncomingMessage, res: ServerResponse, key: string) {
    if (req.method !== 'PUT') {
      const body = objects.get(key);
      counts.reads += 1;
      const status = body === undefined ? 404 : 200;
      res.writeHead(mayRead() ? status : 429);
      res.end(body ?? '');
      return;
    }
    const body = await readBody(req);
    write(res, [], () => {
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

  /** All downloads share the store's rate, one after the other. */
  async function weights(res: ServerResponse, bytes: number) {
    const now = performance.now();
    weightsFreeAt = Math.max(weightsFreeAt, now) + (bytes / faults.weightBytesPerSecond) * 1000;
    await sleep(weightsFreeAt - now);
    sendJson(res, 200, { bytes });
  }

  async function readTable(res: ServerResponse, url: URL, table: string, key: string | undefined) {
    if (!await reach(res, [table])) return;
    if (key) {
      read(res, tables.get(table)?.get(key));
      return;
    }
    const prefix = url.searchParams.get('prefix') ?? '';
    const rows = [...tableOf(table).values()].filter((row) => row.key.startsWith(prefix))
      .sort((x, y) => (x.key < y.key ? -1 : 1));
    read(res, { rows });
  }

  return serve(host, port, async (req, res, url) => {
    const [, root, a = '', b] = url.pathname.split('/').map(decodeURIComponent);
    if (root === 'faults') {
      Object.assign(faults, JSON.parse(await readBody(req)));
      sendJson(res, 200, faults);
    } else if (root === 'counts') sendJson(res, 200, counts);
    else if (root === 'vms' && req.method === 'PUT') await setVms(req, res);
    else if (root === 'vms') sendJson(res, faults.vmOutage ? 503 : 200, { vms: visible });
    else {
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.outage) sendJson(res, 503, { error: 'outage' });
      else if (root === 'transactions') await transactions(req, res);
      else if (root === 'objects') await objectCalls(req, res, [a, b].filter(Boolean).join('/'));
      else if (root === 'weights') await weights(res, Number(url.searchParams.get('bytes') ?? 0));
      else if (root === 'tables') await readTable(res, url, a, b);
      else sendJson(res, 404, { error: 'not_found' });
    }
  });
}
