/** Usage records are stored and counted once despite lost responses, outages and crashes. */
import { expect, test } from 'vitest';
import { createRefusal, ManualClock, PlatformError } from '@verbenashunt/core';
import { createUsageLog, createUsageMeter, sumUsage } from '@verbenashunt/entry';
import { validators, type UsageBatch, type UsageRecord } from '@verbenashunt/schema';

const flushMs = 10_000;

/** An object store whose next writes fail with the queued faults, in order. */
function createStore() {
  const objects = new Map<string, string>();
  const faults: ('lost response' | 'lost request')[] = [];
  let writes = 0;
  return {
    objects,
    faults,
    get writes() {
      return writes;
    },
    batches: () => [...objects.values()].map((body) => JSON.parse(body) as UsageBatch),
    async putObject(key: string, body: string) {
      writes += 1;
      const fault = faults.shift();
      if (fault === 'lost request') throw new PlatformError('no response');
      const before = objects.get(key);
      expect(before ?? body).toBe(body);
      objects.set(key, body);
      if (fault === 'lost response') throw new PlatformError('no response');
    },
  };
}

function start(incarnation = 1, store = createStore()) {
  const clock = new ManualClock();
  let dropped = 0;
  const log = createUsageLog({
    clock,
    node: 'entry-1',
    incarnation,
    putObject: store.putObject,
    onDropped() {
      dropped += 1;
    },
    onWritten: () => {},
  });
  async function advance(ms: number) {
    for (let at = 0; at < ms; at += 500) {
      clock.advance(500);
      await new Promise(setImmediate);
    }
  }
  return {
    clock, log, store, advance, dropped: () => dropped,
  };
}

const record = (id: string, fields: Partial<UsageRecord> = {}): UsageRecord => ({
  id, at: 0, org: 'club-rennes', cls: 'chat', model: 'rankings', promptTokens: 3, tokens: 5, outcome: 'completed', ...fields,
});

const requestsOf = (batches: UsageBatch[]) => sumUsage(batches)
  .reduce((sum, { requests }) => sum + requests, 0);

test('a batch whose response was lost is written again under the same key', async () => {
  const { log, store, advance } = start();
  store.faults.push('lost response', 'lost response');
  log.add(record('a'));
  await advance(flushMs + 500);
  log.add(record('b'));
  await advance(2 * flushMs);
  expect([...store.objects.keys()]).toEqual(['usage/entry-1/1/0', 'usage/entry-1/1/1']);
  expect(store.batches().every(validators.usageBatch)).toBe(true);
  expect(requestsOf(store.batches())).toBe(2);
  expect(log.held).toBe(0);
});

test('an outage of an hour loses no records while their number is within the limit', async () => {
  const { log, store, advance } = start();
  store.faults.push(...Array.from({ length: 3600 }, () => 'lost request' as const));
  log.add(record('first'));
  await advance(3_000_000);
  Array.from({ length: 999 }, (_, i) => log.add(record(`r${i}`)));
  await advance(900_000);
  expect(requestsOf(store.batches())).toBe(1000);
  expect(log.held).toBe(0);
});

test('the number of held records is bounded, and dropped records are counted', () => {
  const { log, dropped } = start();
  Array.from({ length: 100_010 }, (_, i) => log.add(record(`r${i}`)));
  expect(log.held).toBe(100_000);
  expect(dropped()).toBe(10);
});

test('a crash loses at most the records since the last batch', async () => {
  const { log, store, advance } = start();
  for (let second = 0; second < 65; second += 1) {
    log.add(record(`r${second}`));
    await advance(1000);
  }
  expect(65 - requestsOf(store.batches())).toBeLessThanOrEqual(flushMs / 1000);
  const next = start(2, store);
  next.log.add(record('after'));
  await next.advance(flushMs + 500);
  expect(store.batches().at(-1)!.incarnation).toBe(2);
  expect(requestsOf(store.batches())).toBeGreaterThanOrEqual(56);
});

test('close stores all held records', async () => {
  const { log, store, clock } = start();
  store.faults.push('lost response');
  log.add(record('a'));
  const closed = log.close(5000);
  await new Promise(setImmediate);
  clock.advance(1000);
  expect(await closed).toBe(true);
  expect(requestsOf(store.batches())).toBe(1);
});

test('a batch that is read twice and a call that is sent twice count once', () => {
  const batch: UsageBatch = {
    node: 'entry-1', incarnation: 1, sequence: 0, records: [record('a'), record('call-1', { outcome: 'interrupted' })],
  };
  const other: UsageBatch = { ...batch, node: 'entry-2', records: [record('call-1')] };
  expect(sumUsage([batch, batch, other])).toEqual([{
    org: 'club-rennes', model: 'rankings', outcome: 'completed', requests: 2, promptTokens: 6, tokens: 10,
  }]);
});

test('a request is recorded once, with its first outcome', () => {
  const records: UsageRecord[] = [];
  const meter = createUsageMeter(new ManualClock(), (usageRecord) => records.push(usageRecord));
  const spec = {
    req: 'r1', org: 'club-rennes', cls: 'chat', model: 'rankings', version: 'v1', layers: 1, prompt: [1, 2], parts: [], maxTokens: 9, priority: 5, deadline: 0,
  };
  const sink = { token: () => {}, end: () => {}, refuse: () => {} };
  const run = {
    receive: () => {}, onAgentLost: () => {}, onAgentResumed: () => {}, cancel: () => {},
  };
  const metered = meter.generation(spec, sink, (inner) => {
    inner.token(1);
    inner.token(2);
    inner.refuse(createRefusal('interrupted'));
    return run;
  });
  metered.cancel();
  meter.generation({ ...spec, req: 'r2' }, sink, () => run).cancel();
  expect(records.map(({ id, tokens, outcome }) => [id, tokens, outcome]))
    .toEqual([['r1', 2, 'interrupted'], ['r2', 0, 'cancelled']]);
});
