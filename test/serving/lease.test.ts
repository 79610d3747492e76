/**
 * Lease and fencing tokens, model-checked: runs every sequence of up to seven actions of two
 * entries that read and write the lease, pause past its expiry and send orders, while the store may
 * be restored from an older copy. The target rejects orders with a token lower than the highest
 * that it has seen.
 */
import { expect, test } from 'vitest';
import {
  leaseKeyOf, nextLease, parseLease, type LeaseRecord,
} from '@verbenashunt/core';

const ttl = 3000;

test('is acquired when free, expired or held by an earlier process of the same VM', () => {
  const claim = (holder: string, now: number, ownToken?: number) => ({
    holder, now, ownToken, era: 0,
  });
  expect(nextLease(undefined, claim('a', 10))).toEqual({ holder: 'a', token: 1, until: 10 + ttl });
  const held: LeaseRecord = { holder: 'b', token: 4, until: 100 };
  expect(nextLease(held, claim('a', 99))).toBeUndefined();
  expect(nextLease(held, claim('a', 101))).toMatchObject({ holder: 'a', token: 5 });
  expect(nextLease(held, claim('b', 50))).toMatchObject({ token: 5 });
  expect(nextLease(held, claim('b', 50, 4))).toMatchObject({ token: 4, until: 50 + ttl });
});

test('each era has a row of its own and higher tokens than the eras before', () => {
  expect(new Set([0, 1, 2, 3].map(leaseKeyOf)).size).toBe(4);
  const first = [0, 1, 2, 3].map((era) => nextLease(undefined, {
    holder: 'a', now: 0, ownToken: undefined, era,
  })!.token);
  expect(first).toEqual([...first].sort((x, y) => x - y));
  expect(first.every(Number.isSafeInteger)).toBe(true);
  expect(first[1]! - first[0]!).toBeGreaterThan(1_000_000);
});

test('a row that is not a valid lease has no holder', () => {
  expect([undefined, null, 'x', {}, { holder: 'a', token: 1.5, until: 1 }].map(parseLease))
    .toEqual(Array(5).fill(undefined));
});

type Action = 'read' | 'write' | 'order' | 'wait' | 'restore';

/** A row and the store's version at its last change. */
interface LeaseRow {
  row: LeaseRecord | undefined;
  version: number;
}

interface Entry {
  /** The row as last read, until the entry writes; `version` is for the conditional write. */
  read: (LeaseRow & { era: number }) | undefined;
  token: number | undefined;
}

interface ModelState {
  /** Lease rows by key. */
  rows: Record<string, LeaseRow>;
  /** Version of the store's last change. */
  version: number;
  era: number;
  now: number;
  entries: Record<'a' | 'b', Entry>;
  /** Entry that acquired each token. */
  owners: Record<number, 'a' | 'b'>;
  /** Tokens of the orders that the target accepted, in order of acceptance. */
  accepted: number[];
  /** Highest token that the target has seen; it rejects orders with a lower one. */
  highestToken: number;
}

const actions: Action[] = ['read', 'write', 'order', 'wait'];
const entryNames = ['a', 'b'] as const;
const noRow: LeaseRow = { row: undefined, version: 0 };

function applyWrite(state: ModelState, name: 'a' | 'b'): ModelState {
  const entry = state.entries[name];
  const { read } = entry;
  const withEntry = (next: Entry) => ({ ...state, entries: { ...state.entries, [name]: next } });
  const record = read && nextLease(read.row, {
    holder: name, now: state.now, ownToken: entry.token, era: read.era,
  });
  if (!record) return state;
  const key = leaseKeyOf(read.era);
  const isStale = (state.rows[key] ?? noRow).version !== read.version;
  if (isStale) return withEntry({ read: undefined, token: entry.token });
  const version = state.version + 1;
  // The answer states the new era, so a write from the one before permits nothing.
  const token = read.era === state.era ? record.token : undefined;
  return {
    ...withEntry({ read: undefined, token }),
    rows: { ...state.rows, [key]: { row: record, version } },
    version,
    owners: token === undefined || token in state.owners
      ? state.owners
      : { ...state.owners, [token]: name },
  };
}

function applyAction(state: ModelState, name: 'a' | 'b', action: Action): ModelState {
  const entry = state.entries[name];
  const withEntry = (next: Entry) => ({ ...state, entries: { ...state.entries, [name]: next } });
  // The copy is empty, so all versions are given out again.
  if (action === 'restore') {
    return {
      ...state, rows: {}, version: 0, era: state.era + 1,
    };
  }
  if (action === 'wait') return { ...state, now: state.now + ttl + 1 };
  if (action === 'read') {
    const found = state.rows[leaseKeyOf(state.era)] ?? noRow;
    const isLost = found.row?.token !== entry.token;
    return withEntry({
      read: { ...found, era: state.era }, token: isLost ? undefined : entry.token,
    });
  }
  if (action === 'order') {
    const { token } = entry;
    const isFenced = token === undefined || token < state.highestToken;
    if (isFenced) return withEntry({ ...entry, token: undefined });
    return { ...state, highestToken: token, accepted: [...state.accepted, token] };
  }
  return applyWrite(state, name);
}

function explore(state: ModelState, depth: number, visit: (state: ModelState) => void) {
  visit(state);
  if (depth === 0) return;
  const steps = entryNames.flatMap((name) => actions.map((action) => [name, action] as const));
  const restores = state.era < 2 ? [['a', 'restore'] as const] : [];
  [...steps, ...restores].forEach(([name, action]) => {
    const next = applyAction(state, name, action);
    if (next !== state) explore(next, depth - 1, visit);
  });
}

test('no token is ever held by two entries, and a target never accepts an older one', () => {
  const start: ModelState = {
    rows: {},
    version: 0,
    era: 0,
    now: 0,
    entries: { a: { read: undefined, token: undefined }, b: { read: undefined, token: undefined } },
    owners: {},
    accepted: [],
    highestToken: 0,
  };
  let states = 0;
  explore(start, 7, ({ entries, owners, accepted }) => {
    states += 1;
    const foreign = entryNames.filter((name) => {
      const { token } = entries[name];
      return token !== undefined && owners[token] !== name;
    });
    if (foreign.length > 0) throw new Error(`${foreign} holds a token that another entry acquired`);
    const sorted = [...accepted].sort((x, y) => x - y);
    if (accepted.join() !== sorted.join()) throw new Error(`orders accepted with tokens out of order: ${accepted.join()}`);
  });
  expect(states).toBeGreaterThan(100_000);
});
