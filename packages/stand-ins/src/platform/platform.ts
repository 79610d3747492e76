/** Stand-in for the platform: tables with conditional writes, objects, weights and a VM list. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  validators, type Row, type Transaction, type Vm,
} from '@verbenashunt/schema';
import {
  readBody, sendJson, serve, type StandIn,
} from '../http/server.js';

/** Faults that apply to a single table. */
interface TableFaults {
  outage?: boolean;
  delayMs?: number;
  dropResponses?: number;
  dropRequests?: number;
}

interface Faults {
  /** Responds with 503 to every request except those for the VM list. */
  outage: boolean;
  delayMs: number;
  /** Number of next writes that are executed but whose response is dropped. */
  dropResponses: number;
  /** Number of next writes that are dropped before they are executed. */
  dropRequests: number;
  writesPerSecond: number;
  readsPerSecond: number;
  weightBytesPerSecond: number;
  /** Milliseconds before a new VM list is returned to readers. */
  vmLagMs: number;
  /** Responds with 503 to reads of the VM list. */
  vmOutage: boolean;
  /** Further faults by table name. */
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

/** Returns a check that allows `rate()` calls in each second. */
function createRateLimiter(rate: () => number) {
  let second = 0;
  let calls = 0;
  return () => {
    const now = Math.floor(Date.now() / 1000);
    if (now !== second) {
      second = now;
      calls = 0;
    }
    calls += 1;
    return calls <= rate();
  };
}

export async function startPlatform({ host, port, vms }: PlatformOptions): Promise<StandIn> {
  const tables = new Map<string, Map<string, Row>>();
  const objects = new Map<string, string>();
  let currentVms = vms;
  let listedVms = vms;
  let downloadsDoneAt = 0;
  const counts = { reads: 0, writes: 0 };
  const faults: Faults = {
    outage: false,
    delayMs: 0,
    dropResponses: 0,
    dropRequests: 0,
    writesPerSecond: 600,
    readsPerSecond: 2000,
    weightBytesPerSecond: 1e9,
    vmLagMs: 0,
    vmOutage: false,
    tables: {},
  };
  const allowWrite = createRateLimiter(() => faults.writesPerSecond);
  const allowRead = createRateLimiter(() => faults.readsPerSecond);

  const getOrCreateTable = (name: string) => {
    const table = tables.get(name) ?? new Map<string, Row>();
    tables.set(name, table);
    return table;
  };
  const getVersion = (table: string, key: string) => tables.get(table)?.get(key)?.version ?? 0;

  function commit({ conditions, puts }: Transaction): string | undefined {
    const failed = conditions.find((c) => getVersion(c.table, c.key) !== c.version);
    if (failed) return `${failed.table}/${failed.key} is not at version ${failed.version}`;
    puts.forEach(({ table, key, value }) => {
      getOrCreateTable(table).set(key, { key, value, version: getVersion(table, key) + 1 });
    });
    return undefined;
  }

  /** Returns the general faults and those of the given tables. */
  const faultsForTables = (names: readonly string[]) => [
    faults, ...names.flatMap((name) => faults.tables[name] ?? []),
  ];

  /** Returns whether to drop this message; decrements the counter that requires it. */
  function consumeDrop(kind: 'dropResponses' | 'dropRequests', names: readonly string[]): boolean {
    const fault = faultsForTables(names).find((candidate) => (candidate[kind] ?? 0) > 0);
    if (fault) fault[kind]! -= 1;
    return fault !== undefined;
  }

  /** Applies the tables' delays; responds with 503 and returns false if one has an outage. */
  async function applyTableFaults(res: ServerResponse, names: readonly string[]): Promise<boolean> {
    const tableFaults = names.flatMap((name) => faults.tables[name] ?? []);
    const delayMs = Math.max(0, ...tableFaults.map((fault) => fault.delayMs ?? 0));
    if (delayMs > 0) await sleep(delayMs);
    const isUp = !tableFaults.some(({ outage }) => outage);
    if (!isUp) sendJson(res, 503, { error: 'outage' });
    return isUp;
  }

  /** Executes a write under the configured faults; `apply` returns the response. */
  function handleWrite(
    res: ServerResponse,
    names: readonly string[],
    apply: () => { status: number; body: unknown },
  ) {
    counts.writes += 1;
    if (!allowWrite()) {
      sendJson(res, 429, { error: 'rate' });
    } else if (consumeDrop('dropRequests', names)) {
      res.destroy();
    } else {
      const { status, body } = apply();
      if (consumeDrop('dropResponses', names)) res.destroy();
      else sendJson(res, status, body);
    }
  }

  function handleRead(res: ServerResponse, value: unknown) {
    counts.reads += 1;
    if (!allowRead()) sendJson(res, 429, { error: 'rate' });
    else sendJson(res, value === undefined ? 404 : 200, value ?? { error: 'absent' });
  }

  async function handleTransaction(req: IncomingMessage, res: ServerResponse) {
    const transaction: unknown = JSON.parse(await readBody(req));
    if (!validators.transaction(transaction)) {
      sendJson(res, 400, { error: 'bad_transaction' });
      return;
    }
    const rows = [...transaction.conditions, ...transaction.puts];
    const names = [...new Set(rows.map((row) => row.table))];
    if (!await applyTableFaults(res, names)) return;
    handleWrite(res, names, () => {
      const conflict = commit(transaction);
      return conflict ? { status: 409, body: { error: conflict } } : { status: 200, body: {} };
    });
  }

  async function handleObject(req: IncomingMessage, res: ServerResponse, key: string) {
    if (req.method !== 'PUT') {
      const body = objects.get(key);
      counts.reads += 1;
      const status = body === undefined ? 404 : 200;
      res.writeHead(allowRead() ? status : 429);
      res.end(body ?? '');
      return;
    }
    const body = await readBody(req);
    handleWrite(res, [], () => {
      objects.set(key, body);
      return { status: 200, body: {} };
    });
  }

  async function handleVmUpdate(req: IncomingMessage, res: ServerResponse) {
    const list: unknown = JSON.parse(await readBody(req));
    if (!validators.vmList(list)) {
      sendJson(res, 400, { error: 'bad_list' });
      return;
    }
    currentVms = list.vms as Vm[];
    setTimeout(() => {
      listedVms = currentVms;
    }, faults.vmLagMs);
    sendJson(res, 200, {});
  }

  /** Simulates a download; downloads run one after another at the configured rate. */
  async function handleWeights(res: ServerResponse, bytes: number) {
    const now = performance.now();
    downloadsDoneAt = Math.max(downloadsDoneAt, now) + (bytes / faults.weightBytesPerSecond) * 1000;
    await sleep(downloadsDoneAt - now);
    sendJson(res, 200, { bytes });
  }

  async function handleTableRead(
    res: ServerResponse,
    url: URL,
    table: string,
    key: string | undefined,
  ) {
    if (!await applyTableFaults(res, [table])) return;
    if (key) {
      handleRead(res, tables.get(table)?.get(key));
      return;
    }
    const prefix = url.searchParams.get('prefix') ?? '';
    const rows = [...getOrCreateTable(table).values()].filter((row) => row.key.startsWith(prefix))
      .sort((x, y) => (x.key < y.key ? -1 : 1));
    handleRead(res, { rows });
  }

  return serve(host, port, async (req, res, url) => {
    const [, resource, name = '', subkey] = url.pathname.split('/').map(decodeURIComponent);
    if (resource === 'faults') {
      Object.assign(faults, JSON.parse(await readBody(req)));
      sendJson(res, 200, faults);
    } else if (resource === 'counts') sendJson(res, 200, counts);
    else if (resource === 'vms' && req.method === 'PUT') await handleVmUpdate(req, res);
    else if (resource === 'vms') sendJson(res, faults.vmOutage ? 503 : 200, { vms: listedVms });
    else {
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      if (faults.outage) sendJson(res, 503, { error: 'outage' });
      else if (resource === 'transactions') await handleTransaction(req, res);
      else if (resource === 'objects') await handleObject(req, res, [name, subkey].filter(Boolean).join('/'));
      else if (resource === 'weights') await handleWeights(res, Number(url.searchParams.get('bytes') ?? 0));
      else if (resource === 'tables') await handleTableRead(res, url, name, subkey);
      else sendJson(res, 404, { error: 'not_found' });
    }
  });
}
