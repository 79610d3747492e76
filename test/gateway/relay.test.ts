/**
 * Entries that follow the store through one entry of their zone: how many calls the store gets, and
 * how late a change arrives when the relay is lost in one way or another.
 */
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import { ManualClock, PlatformError, SystemClock } from '@verbenashunt/core';
import {
  chooseRelay, createRelayedStore, createTableLog, decodeChanges, encodeChanges, followTable,
  serveRelay, type EntryRecord, type RowStore, type TableState,
} from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';
import { createExchanger } from '@verbenashunt/wire';
import { wait } from '../support/timing.js';

const log = pino({ level: 'silent' });
/** Age in milliseconds at which the entries ask the store itself. */
const maxAgeMs = 2000;
const cleanups: (() => unknown)[] = [];
let store: StoreStandIn;

beforeEach(async () => {
  store = await startStore();
  cleanups.push(store.close);
});

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

const stateOf = (version: number, keys: string[] = [], era = 0): TableState => ({
  version, era, now: 0, rows: keys.map((key) => ({ key, value: Buffer.from(key), version })),
});
const keysOf = (state: TableState | undefined) => state?.rows.map(({ key }) => key);

test('a log returns the changes after a version, and waits for the next ones', async () => {
  const clock = new ManualClock();
  const tableLog = createTableLog(clock, { maxAgeMs: 2000 });
  tableLog.recordRead(stateOf(10, ['a']));
  tableLog.recordChanges(10, stateOf(12, ['b']));
  expect(keysOf(await tableLog.changes(10, 0, 0))).toEqual(['b']);
  expect(await tableLog.changes(12, 0, 0)).toMatchObject({ rows: [], version: 12 });
  const waiting = tableLog.changes(12, 0, 1000);
  tableLog.recordChanges(12, stateOf(15, ['c']));
  expect(keysOf(await waiting)).toEqual(['c']);
  expect(keysOf(await tableLog.changes(10, 0, 0))).toEqual(['b', 'c']);
});

test('a log can not tell about changes before its start or of another era', async () => {
  const tableLog = createTableLog(new ManualClock(), { maxAgeMs: 2000 });
  expect(await tableLog.changes(0, 0, 0)).toBeUndefined();
  tableLog.recordRead(stateOf(10));
  tableLog.recordChanges(10, stateOf(10));
  expect(await tableLog.changes(9, 0, 0)).toBeUndefined();
  expect(await tableLog.changes(10, 1, 0)).toBeUndefined();
  expect(await tableLog.changes(11, 0, 0)).toMatchObject({ rows: [], version: 11 });
});

test('a log can not tell after a read alone, which may come from a replica that lags behind', async () => {
  const tableLog = createTableLog(new ManualClock(), { maxAgeMs: 2000 });
  tableLog.recordRead(stateOf(10));
  expect(await tableLog.changes(10, 0, 0)).toBeUndefined();
  tableLog.recordChanges(10, stateOf(11, ['a']));
  tableLog.recordFailure();
  tableLog.recordRead(stateOf(10));
  expect(await tableLog.changes(11, 0, 0)).toBeUndefined();
  tableLog.recordChanges(11, stateOf(12, ['b']));
  tableLog.recordRead(stateOf(30));
  expect(await tableLog.changes(30, 0, 0)).toBeUndefined();
});

test('a log of a table of which the newest rows matter keeps no others', async () => {
  const tableLog = createTableLog(new ManualClock(), { maxAgeMs: 2000, isNewestOnly: true });
  tableLog.recordRead(stateOf(10));
  tableLog.recordChanges(10, stateOf(11, ['config', 'a']));
  tableLog.recordChanges(11, stateOf(12, ['config']));
  tableLog.recordChanges(12, stateOf(13, ['config', 'config']));
  const state = await tableLog.changes(10, 0, 0);
  expect(state?.rows.map(({ key, version }) => [key, version])).toEqual([['a', 11], ['config', 13]]);
  expect(await tableLog.changes(11, 0, 0)).toMatchObject({ version: 13, rows: [{ version: 13 }] });
});

test('a log passes on when the store last answered, also without changes', async () => {
  const tableLog = createTableLog(new ManualClock(), { maxAgeMs: 2000 });
  tableLog.recordRead(stateOf(10));
  tableLog.recordChanges(10, { ...stateOf(10), now: 700 });
  expect(await tableLog.changes(10, 0, 0)).toMatchObject({ now: 700 });
});

test('a log starts anew after a gap, a later read and a new era', async () => {
  const tableLog = createTableLog(new ManualClock(), { maxAgeMs: 2000 });
  tableLog.recordRead(stateOf(10));
  tableLog.recordChanges(20, stateOf(21, ['b']));
  expect(await tableLog.changes(10, 0, 0)).toBeUndefined();
  expect(keysOf(await tableLog.changes(20, 0, 0))).toEqual(['b']);
  tableLog.recordRead(stateOf(30));
  expect(await tableLog.changes(21, 0, 0)).toBeUndefined();
  tableLog.recordRead(stateOf(5, [], 1));
  tableLog.recordChanges(5, stateOf(5, [], 1));
  expect(await tableLog.changes(30, 0, 0)).toBeUndefined();
  expect(await tableLog.changes(5, 1, 0)).toMatchObject({ rows: [], era: 1 });
});

test('a log is out of date when the store does not answer, and its followers learn it', async () => {
  const clock = new ManualClock();
  const tableLog = createTableLog(clock, { maxAgeMs: 2000 });
  tableLog.recordRead(stateOf(10));
  tableLog.recordChanges(10, stateOf(10));
  const waiting = tableLog.changes(10, 0, 5000);
  clock.advance(2001);
  expect(await waiting).toBeUndefined();
  tableLog.recordChanges(10, stateOf(10));
  const again = tableLog.changes(10, 0, 5000);
  tableLog.recordFailure();
  expect(await again).toBeUndefined();
});

const entry = (node: string, capacity: number, more: Partial<EntryRecord> = {}): EntryRecord => ({
  node, backAt: undefined, relay: { address: `${node}:1`, zone: 'zone-a', capacity }, ...more,
});
const choiceOf = (node: string, avoided: string[] = []) => ({
  node, zone: 'zone-a', minEntries: 3, isAvoided: (other: string) => avoided.includes(other),
});

test('all entries of a zone choose the one with the most capacity, which calls the store', () => {
  const entries = [entry('a', 0.5), entry('b', 1.3), entry('c', 0.2)];
  const chosen = ['a', 'b', 'c'].map((node) => chooseRelay(entries, choiceOf(node))?.node);
  expect(chosen).toEqual(['b', undefined, 'b']);
  const equal = ['a', 'b', 'c', 'd'].map((node) => entry(node, 1));
  const relays = new Set(['a', 'b', 'c', 'd'].map((node) => chooseRelay(equal, choiceOf(node))?.node ?? node));
  expect(relays.size).toBe(1);
});

test('a relay that failed, stops or lies in another zone is not chosen', () => {
  const entries = [
    entry('a', 1), entry('b', 2), entry('c', 3, { backAt: 9 }), entry('d', 1.5),
    entry('e', 4, { relay: { address: 'e:1', zone: 'zone-b', capacity: 4 } }), entry('f', 5, { relay: undefined }),
  ];
  expect(chooseRelay(entries, choiceOf('a'))?.node).toBe('b');
  expect(chooseRelay(entries, choiceOf('a', ['b']))?.node).toBe('d');
  expect(chooseRelay(entries, choiceOf('d', ['b']))).toBeUndefined();
  expect(chooseRelay(entries.slice(0, 2), choiceOf('a'))).toBeUndefined();
});

test('encodes changes and rejects what is none', () => {
  const state = { ...stateOf(3, ['a'], 2), rows: [...stateOf(3, ['a']).rows, { key: 'b', value: undefined, version: 3 }] };
  expect(decodeChanges(encodeChanges(state))).toEqual(state);
  expect(() => decodeChanges('{')).toThrow('not JSON');
  expect(() => decodeChanges('{"rows":[]}')).toThrow('not valid');
});

type Cut = 'none' | 'refused' | 'silent';

/** A store client whose calls fail, or hang as long as the caller waits, while it is cut off. */
function createCuttableStore(): RowStore & { setCut(next: Cut): void } {
  const client = createPlatformPorts(store.address).store;
  let cut: Cut = 'none';
  return {
    ...client,
    setCut(next) {
      cut = next;
    },
    async changes(table, after, waitMs) {
      const state = client.changes(table, after, waitMs);
      const timeout = new Promise<never>((_, reject) => {
        setTimeout(() => reject(new PlatformError('no answer')), waitMs + 700);
      });
      if (cut === 'refused') throw new PlatformError('refused');
      const answer = await Promise.race([state, timeout]);
      return cut === 'silent' ? timeout : answer;
    },
  };
}

interface Member {
  node: string;
  client: ReturnType<typeof createCuttableStore>;
  /** Values of the followed row, with the time at which each arrived. */
  seen: { value: string; at: number }[];
  relay: { close(): void };
}

/** Starts entries of one zone that follow a table; the first one is their relay. */
async function startZone(count: number): Promise<Member[]> {
  const entries: EntryRecord[] = [];
  return Promise.all(Array.from({ length: count }, async (_, i) => {
    const node = `entry-${i}`;
    const client = createCuttableStore();
    const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 4000 });
    const deps = { clock: new SystemClock(), log, random: () => 0.5 };
    const relayed = createRelayedStore({
      ...deps,
      store: client,
      exchanger,
      node,
      zone: 'zone-a',
      maxAgeMs: () => maxAgeMs,
      newestOnlyTables: [],
      entries: () => entries,
    });
    const relay = await serveRelay({ host: '127.0.0.1', port: 0 }, {
      logOf: relayed.logOf, onAnnouncement() {}, takeToken: async () => 0,
    });
    entries.push({
      node, backAt: undefined, relay: { address: `127.0.0.1:${relay.port}`, zone: 'zone-a', capacity: count - i },
    });
    const member: Member = {
      node, client, seen: [], relay,
    };
    const record = (rows: TableState['rows']) => rows
      .forEach(({ value }) => member.seen.push({ value: String(value), at: performance.now() }));
    const follower = followTable({
      table: 't', onRows: record, onChanges: record,
    }, { ...deps, store: relayed });
    cleanups.push(follower.close, relay.close, exchanger.close);
    return member;
  }));
}
const expectSeen = (members: readonly Member[], value: string) => vi.waitFor(
  () => expect(members.map(({ seen }) => seen.at(-1)?.value)).toEqual(members.map(() => value)),
  { timeout: 10_000, interval: 10 },
);
const feedCalls = () => store.calls.get('/api/rows-feed') ?? 0;

test('a zone makes the calls of one entry while rows change, and all see each change', async () => {
  store.put('t', 'a', 'start');
  const zone = await startZone(8);
  await expectSeen(zone, 'start');
  await wait(2000);
  const before = feedCalls();
  const startedAt = performance.now();
  for (let i = 0; i < 10; i += 1) {
    store.put('t', 'a', i);

    await wait(300);
  }
  await expectSeen(zone, '9');
  const seconds = (performance.now() - startedAt) / 1000;
  expect(feedCalls() - before).toBeLessThan(10 + 3 * seconds);
  const last = zone.map(({ seen }) => seen.at(-1)!.at);
  expect(Math.max(...last) - Math.min(...last)).toBeLessThan(1000);
});

test.each([
  ['stops', ([relay]: Member[]) => relay!.relay.close()],
  ['is refused by the store', ([relay]: Member[]) => relay!.client.setCut('refused')],
  ['gets no answer from the store', ([relay]: Member[]) => relay!.client.setCut('silent')],
])('a change is seen in time by the others when the relay %s', async (_, lose) => {
  store.put('t', 'a', 'start');
  const zone = await startZone(4);
  await expectSeen(zone, 'start');
  await wait(2000);
  lose(zone);
  const lostAt = performance.now();
  store.put('t', 'a', 'later');
  const others = zone.slice(1);
  await expectSeen(others, 'later');
  // On top of that age, time for the call to the store.
  const delaysMs = others.map(({ seen }) => seen.at(-1)!.at - lostAt);
  expect(Math.max(...delaysMs)).toBeLessThan(maxAgeMs + 300);
});

test('an outage of the store brings few calls of the entries that have a relay', async () => {
  store.put('t', 'a', 'start');
  const zone = await startZone(8);
  await expectSeen(zone, 'start');
  await wait(2000);
  store.fault = 'busy';
  await wait(1000);
  const before = feedCalls();
  const outageMs = 4000;
  await wait(outageMs);
  const [relayRetryMs, othersRetryMs] = [500, 1500];
  const expected = outageMs / relayRetryMs + 7 * (outageMs / othersRetryMs + 1);
  expect(feedCalls() - before).toBeLessThan(expected);
  store.fault = 'none';
  const returnedAt = performance.now();
  store.put('t', 'a', 'later');
  await expectSeen(zone, 'later');
  expect(performance.now() - returnedAt).toBeLessThan(2500);
});

test('an answer from before a restoration brings neither its era nor its age back', async () => {
  const states: TableState[] = [
    { ...stateOf(10, [], 1), now: 100 },
    { ...stateOf(9, [], 2), now: 5 },
    { ...stateOf(11, [], 1), now: 200 },
  ];
  const clock = new ManualClock();
  const relayed = createRelayedStore({
    clock,
    log,
    store: { ...createPlatformPorts(store.address).store, changes: async () => states.shift()! },
    exchanger: createExchanger({ connectTimeoutMs: 300, keepAliveMs: 4000 }),
    node: 'a',
    zone: 'zone-a',
    maxAgeMs: () => maxAgeMs,
    newestOnlyTables: [],
    entries: () => [],
  });
  await relayed.changes('t', 0, 0);
  await relayed.changes('t', 0, 0);
  clock.advance(1000);
  expect((await relayed.changes('t', 0, 0)).asOf).toBeUndefined();
  expect(relayed.ageMs('t')).toBe(1000);
});

test('a restoration of the store reaches the entries behind a relay', async () => {
  store.era = 1;
  store.put('t', 'a', 'old');
  const copy = store.copy();
  store.put('t', 'a', 'new');
  const zone = await startZone(4);
  await expectSeen(zone, 'new');
  await wait(2000);
  store.restore(copy);
  await expectSeen(zone, 'old');
  store.put('t', 'a', 'again');
  await expectSeen(zone, 'again');
});
