/** Token buckets of limited targets that one entry keeps for all, however entries are lost. */
import { afterEach, expect, test } from 'vitest';
import { pino } from 'pino';
import {
  createTargetBuckets, ManualClock, rendezvousScore, SystemClock,
} from '@verbenashunt/core';
import {
  createRateLimiter, serveRelay, type EntryRecord, type LimitedTarget, type RateLimiter,
} from '@verbenashunt/gateway';
import { createExchanger } from '@verbenashunt/wire';

const host = '127.0.0.1';
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

test('a bucket gives its rate and a small burst, and nothing at first', () => {
  const clock = new ManualClock();
  const buckets = createTargetBuckets(clock);
  expect(buckets.take('a', 2)).toBe(500);
  const given = Array.from({ length: 400 }, () => {
    clock.advance(10);
    return buckets.take('a', 2);
  }).filter((waitMs) => waitMs === 0);
  expect(given).toHaveLength(8);
  clock.advance(60_000);
  const burst = Array.from({ length: 9 }, () => buckets.take('a', 2));
  expect(burst.filter((waitMs) => waitMs === 0)).toHaveLength(2);
});

test('a bucket follows a limit that changes, and waits are bounded', () => {
  const clock = new ManualClock();
  const buckets = createTargetBuckets(clock);
  buckets.take('a', 20);
  clock.advance(60_000);
  expect(buckets.take('a', 0.1)).toBe(0);
  expect(buckets.take('a', 0.1)).toBe(2000);
  expect(buckets.take('a', 0)).toBe(2000);
});

interface TestEntry {
  node: string;
  record: EntryRecord;
  limiter: RateLimiter;
  /** What it knows of all entries. */
  known: EntryRecord[];
  close(): void;
}

async function startEntry(node: string, zone = 'zone-a'): Promise<TestEntry> {
  const exchanger = createExchanger({ connectTimeoutMs: 100, keepAliveMs: 1000 });
  const known: EntryRecord[] = [];
  const clock = new SystemClock();
  const limiter = createRateLimiter({
    clock,
    log: pino({ level: 'silent' }),
    exchanger,
    buckets: createTargetBuckets(clock),
    node,
    entries: () => known,
  });
  const server = await serveRelay({ host, port: 0 }, {
    logOf: () => undefined, onAnnouncement() {}, takeToken: limiter.takeForOther,
  });
  cleanups.push(exchanger.close, server.close);
  const relay = { address: `${host}:${server.port}`, zone, capacity: 1 };
  return {
    node, limiter, known, record: { node, backAt: undefined, relay }, close: server.close,
  };
}

/** Entries that all know each other; the first one keeps the bucket of `limited`. */
async function startEntries() {
  const entries = await Promise.all(['a', 'b', 'c', 'd'].map((node) => startEntry(node)));
  entries.forEach(({ known }) => known.push(...entries.map(({ record }) => record)));
  return entries.sort((x, y) => rendezvousScore('t', y.node) - rendezvousScore('t', x.node));
}

const limited: LimitedTarget = { target: 't', zone: 'zone-a', limitPerS: 20 };

/** Takes tokens at all entries as fast as they come; resolves to the number per second. */
async function takenPerS(entries: readonly TestEntry[], ms: number): Promise<number> {
  const until = performance.now() + ms;
  async function takeAll({ limiter }: TestEntry): Promise<number> {
    if (performance.now() >= until) return 0;
    const waitMs = await limiter.take(limited);
    await new Promise((resolve) => {
      setTimeout(resolve, waitMs);
    });
    return (waitMs === 0 ? 1 : 0) + await takeAll({ limiter } as TestEntry);
  }
  const counts = await Promise.all(entries.map(takeAll));
  return counts.reduce((sum, count) => sum + count, 0) / (ms / 1000);
}

/** Bounds of the rate at which tokens are given while one entry keeps the bucket. */
const expectOneBucket = (perS: number) => {
  expect(perS).toBeGreaterThan(0.7 * limited.limitPerS);
  expect(perS).toBeLessThan(1.5 * limited.limitPerS);
};

test('entries together take the limit of a target', async () => {
  expectOneBucket(await takenPerS(await startEntries(), 2000));
});

test('entries that know of different ones do not each keep a bucket', async () => {
  const entries = await startEntries();
  const [keeper, second, ...others] = entries;
  others.forEach(({ known }) => known.splice(known.indexOf(keeper!.record), 1));
  expectOneBucket(await takenPerS([keeper!, second!, ...others], 2000));
});

test('the next entry keeps the bucket when the keeper is gone', async () => {
  const [keeper, ...others] = await startEntries();
  await takenPerS(others, 200);
  keeper!.close();
  await takenPerS(others, 500);
  expectOneBucket(await takenPerS(others, 2000));
});

test('without an entry that others can reach, each takes its part', async () => {
  const entry = await startEntry('alone');
  entry.known.push(...['alone', 'b', 'c', 'd']
    .map((node) => ({ node, backAt: undefined, relay: undefined })));
  const perS = await takenPerS([entry], 2000);
  expect(perS).toBeLessThanOrEqual(1.5 * (limited.limitPerS / 4));
});

test('entries of another zone keep the bucket only if the target\'s has none', async () => {
  const [near, far] = [await startEntry('near'), await startEntry('far', 'zone-b')];
  near.known.push(near.record, far.record);
  expect(near.limiter.keeperCount('zone-a')).toBe(1);
  expect(near.limiter.keeperCount('zone-c')).toBe(2);
});
