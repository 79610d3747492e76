/** Store of calls and their outcomes, bounded in count, age and bytes of results. */
import type { CallState, Clock } from '@verbenashunt/core';
import type { CallResult } from '@verbenashunt/schema';

/** Longer than a call message can be in transit, so that a late duplicate is still recognized. */
const retentionMs = 600_000;
const maxCalls = 100_000;
const maxResultBytes = 32 * 1024 * 1024;

export interface StoredCall {
  state: CallState;
  result?: CallResult;
  /** Aborts a running call; absent unless the call may be repeated. */
  abort?: () => void;
}

export interface CallStore {
  get(key: string): StoredCall | undefined;
  set(key: string, call: StoredCall): void;
  remove(key: string): void;
  /** Whether the store is at its limit. Then calls that must not run twice may not be admitted. */
  readonly isFull: boolean;
}

const resultBytesOf = (call: StoredCall | undefined) => call?.result?.body.length ?? 0;

export function createCallStore(clock: Clock): CallStore {
  const calls = new Map<string, StoredCall & { storedAt: number }>();
  let resultBytes = 0;

  function remove(key: string) {
    resultBytes -= resultBytesOf(calls.get(key));
    calls.delete(key);
  }

  /** Removes calls older than the retention time, oldest first; running ones stay. */
  function removeExpired() {
    const limit = clock.now() - retentionMs;
    const keys = calls.keys();
    for (let next = keys.next(); !next.done; next = keys.next()) {
      const { storedAt, state } = calls.get(next.value)!;
      if (storedAt > limit) return;
      if (state !== 'running') remove(next.value);
    }
  }

  /** Drops results over the size limit, oldest first; the states of their calls stay. */
  function evictResults() {
    const keys = calls.keys();
    for (let next = keys.next(); resultBytes > maxResultBytes && !next.done; next = keys.next()) {
      const call = calls.get(next.value)!;
      resultBytes -= resultBytesOf(call);
      delete call.result;
    }
  }

  return {
    get: (key) => calls.get(key),
    set(key, call) {
      remove(key);
      calls.set(key, { ...call, storedAt: clock.now() });
      resultBytes += resultBytesOf(call);
      removeExpired();
      evictResults();
    },
    remove,
    get isFull() {
      return calls.size >= maxCalls;
    },
  };
}
