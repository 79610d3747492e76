/**
 * Lease and fencing tokens, model-checked: runs every sequence of up to seven actions of two
 * entries that read and write the lease, pause past its expiry and send orders. The target rejects
 * orders with a token lower than the highest that it has seen.
 */
import { expect, test } from 'vitest';
import { nextLease, parseLease, type LeaseRecord } from '@verbenashunt/core';

const ttl = 3000;

test('is acquired when free, expired or held by an earlier process of the same VM', () => {
  expect(nextLease(undefined, 'a', 10, undefined)).toEqual({ holder: 'a', token: 1, until: 10 + ttl });
  const held: LeaseRecord = { holder: 'b', token: 4, until: 100 };
  expect(nextLease(held, 'a', 99, undefined)).toBeUndefined();
  expect(nextLease(held, 'a', 101, undefined)).toMatchObject({ holder: 'a', token: 5 });
  expect(nextLease(held, 'b', 50, undefined)).toMatchObject({ token: 5 });
  expect(nextLease(held, 'b', 50, 4)).toMatchObject({ token: 4, until: 50 + ttl });
});

test('a row that is not a valid lease has no holder', () => {
  expect([undefined, null, 'x', {}, { holder: 'a', token: 1.5, until: 1 }].map(parseLease))
    .toEqual(Array(5).fill(undefined));
});

type Action = 'read' | 'write' | 'order' | 'wait';

interface Entry {
  /** The row as last read, until the entry writes; `version` is for the conditional write. */
  read: { row: LeaseRecord | undefined; version: number } | undefined;
  token: number | undefined;
}

interface ModelState {
  row: LeaseRecord | undefined;
  version: number;
  now: number;
  entries: Record<'a' | 'b', Entry>;
  /** Tokens of the orders that the target accepted, in order of acceptance. */
  accepted: number[];
  /** Highest token that the target has seen; it rejects orders with a lower one. */
  highestToken: number;
}

const actions: Action[] = ['read', 'write', 'order', 'wait'];
const entryNames = ['a', 'b'] as const;

function applyAction(state: ModelState, name: 'a' | 'b', action: Action): ModelState {
  const entry = state.entries[name];
  const withEntry = (next: Entry) => ({ ...state, entries: { ...state.entries, [name]: next } });
  if (action === 'wait') return { ...state, now: state.now + ttl + 1 };
  if (action === 'read') return withEntry({ ...entry, read: { row: state.row, version: state.version } });
  if (action === 'order') {
    const { token } = entry;
    const isFenced = token === undefined || token < state.highestToken;
    if (isFenced) return withEntry({ ...entry, token: undefined });
    return { ...state, highestToken: token, accepted: [...state.accepted, token] };
  }
  if (!entry.read) return state;
  const next = nextLease(entry.read.row, name, state.now, entry.token);
  if (!next) return state;
  const isStale = entry.read.version !== state.version;
  if (isStale) return withEntry({ read: undefined, token: entry.token });
  return {
    ...withEntry({ read: undefined, token: next.token }), row: next, version: state.version + 1,
  };
}

function explore(state: ModelState, depth: number, visit: (state: ModelState) => void) {
  visit(state);
  if (depth === 0) return;
  entryNames.forEach((name) => actions.forEach((action) => {
    const next = applyAction(state, name, action);
    if (next !== state) explore(next, depth - 1, visit);
  }));
}

test('no two entries hold the same token, and a target never accepts an older one', () => {
  const start: ModelState = {
    row: undefined,
    version: 0,
    now: 0,
    entries: { a: { read: undefined, token: undefined }, b: { read: undefined, token: undefined } },
    accepted: [],
    highestToken: 0,
  };
  let states = 0;
  explore(start, 7, ({ entries: { a, b }, accepted }) => {
    states += 1;
    if (a.token !== undefined && a.token === b.token) throw new Error(`both entries hold token ${a.token}`);
    const sorted = [...accepted].sort((x, y) => x - y);
    if (accepted.join() !== sorted.join()) throw new Error(`orders accepted with tokens out of order: ${accepted.join()}`);
  });
  expect(states).toBeGreaterThan(100_000);
});
