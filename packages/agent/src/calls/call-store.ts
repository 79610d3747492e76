/** Calls and fences that an agent remembers, bounded in count, age and bytes of kept answers. */
import type { CallState, Clock } from '@verbenashunt/core';
import type { CallResult } from '@verbenashunt/schema';

/** A fence or outcome is kept longer than any offer can be on its way. */
const retentionMs = 600_000;
const maxCalls = 100_000;
const maxResultBytes = 32 * 1024 * 1024;

export interface HeldCall {
  state: CallState;
  result?: CallResult;
  /** Breaks off a running call; only for one that may be repeated. */
  abort?: () => void;
}

export interface CallStore {
  get(key: string): HeldCall | undefined;
  set(key: string, call: HeldCall): void;
  remove(key: string): void;
  /** No more calls can be remembered, so none that must not run twice may be admitted. */
  readonly full: boolean;
}

const bytesOf = (call: HeldCall | undefined) => call?.result?.body.length ?? 0;

export function createCallStore(clock: Clock): CallStore {
  const calls = new Map<string, HeldCall & { at: number }>();
  let resultBytes = 0;

  function remove(key: string) {
    resultBytes -= bytesOf(calls.get(key));
    calls.delete(key);
  }

  /** Lets go of ended calls past their time, the oldest first. */
  function expire() {
    const limit = clock.now() - retentionMs;
    const keys = calls.keys();
    for (let next = keys.next(); !next.done; next = keys.next()) {
      const { at, state } = calls.get(next.value)!;
      if (at > limit) return;
      if (state !== 'running') remove(next.value);
    }
  }

  /** Lets go of kept answers, the oldest first; the state that tells of the run stays. */
  function shedResults() {
    const keys = calls.keys();
    for (let next = keys.next(); resultBytes > maxResultBytes && !next.done; next = keys.next()) {
      const call = calls.get(next.value)!;
      resultBytes -= bytesOf(call);
      delete call.result;
    }
  }

  return {
    get: (key) => calls.get(key),
    set(key, call) {
      remove(key);
      calls.set(key, { ...call, at: clock.now() });
      resultBytes += bytesOf(call);
      expire();
      shedResults();
    },
    remove,
    get full() {
      return calls.size >= maxCalls;
    },
  };
}
