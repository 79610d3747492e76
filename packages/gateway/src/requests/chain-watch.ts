/**
 * Detects dead targets inside chains. Streams over the same chain receive their events in the same
 * forward passes, so when all of them pause for longer than usual, each target of the chain is
 * probed with a connection; those that accept none are dead. This is a few hundred milliseconds
 * faster than the report of the chain's first target.
 */
import type { Logger } from 'pino';
import {
  groupBy, type CancelTimer, type Clock, type ServingTarget,
} from '@verbenashunt/core';
import { upperMedian } from './progress.js';

/** A stream whose tokens pass through a chain of targets. */
export interface ChainedStream {
  /** Targets of its chain, in order. */
  parts(): readonly ServingTarget[];
  /** Time of its last event; undefined before the first. */
  lastEventAt(): number | undefined;
  /** Time between its last two events in milliseconds; undefined before the second. */
  gapMs(): number | undefined;
  /** Called with the address of a dead target of its chain. */
  stalledBy(address: string): void;
}

export interface ChainWatchDeps {
  clock: Clock;
  log: Logger;
  /** Called for a target that accepts no connection. */
  onDead(target: ServingTarget): void;
  /** Whether a connection to the address opens within `timeoutMs`. */
  acceptsConnection(address: string, timeoutMs: number): Promise<boolean>;
}

export interface ChainWatch {
  /** Returns a function that stops watching the stream. */
  watch(stream: ChainedStream): () => void;
  close(): void;
}

/** Shortest and longest interval between checks of all chains, in milliseconds. */
const minIntervalMs = 10;
const maxIntervalMs = 30;
/**
 * Delay of a check, in milliseconds, above which this process itself was blocked, so that events
 * may have arrived but are not read yet.
 */
const maxDelayMs = 50;
/** Fewest streams of a chain whose common pause counts as evidence. */
const minStreams = 3;
/** Multiple of the median gap between events after which the targets of a chain are probed. */
const pauseFactor = 1.6;
/** Added to that, in milliseconds, for the prefill of a prompt between two passes. */
const pauseSlackMs = 10;
/** Time limit of a connection in milliseconds; within a zone it takes less than one. */
const connectTimeoutMs = 15;
/** Shortest interval between probes of one chain, in milliseconds. */
const probeIntervalMs = 200;

/** Keys of the chains of streams, by their targets; a new list is made when a chain changes. */
const chainKeys = new WeakMap<readonly ServingTarget[], string>();

function chainKeyOf(stream: ChainedStream): string {
  const parts = stream.parts();
  const known = chainKeys.get(parts);
  if (known !== undefined) return known;
  const key = parts.map(({ id }) => id).join();
  chainKeys.set(parts, key);
  return key;
}

export function createChainWatch(deps: ChainWatchDeps): ChainWatch {
  const { clock, log, acceptsConnection } = deps;
  const streams = new Set<ChainedStream>();
  /** Time of the last probe, by chain. */
  const probedAt = new Map<string, number>();
  /** When the next check is due; undefined while there are no streams. */
  let dueAt: number | undefined;
  let cancel: CancelTimer = () => {};
  let isClosed = false;

  async function probe(key: string, parts: readonly ServingTarget[], quietMs: number) {
    const accepted = await Promise.all(parts
      .map(({ address }) => acceptsConnection(address, connectTimeoutMs)));
    const dead = parts.filter((_, i) => !accepted[i]);
    // If most are unreachable, the fault is on this entry's side of the network.
    if (dead.length === 0 || dead.length > parts.length / 2) return;
    const stalled = [...streams].filter((stream) => chainKeyOf(stream) === key);
    log.info({
      targets: dead.map(({ id }) => id), quietMs: Math.round(quietMs), streams: stalled.length,
    }, 'targets of a silent chain take no connection');
    dead.forEach(deps.onDead);
    stalled.forEach((stream) => stream.stalledBy(dead[0]!.address));
  }

  /** Returns the time until the targets of the chain are to be probed if no event arrives. */
  function checkChain(key: string, group: readonly ChainedStream[], now: number): number {
    if (group.length < minStreams) return Infinity;
    const gaps = group.flatMap((stream) => stream.gapMs() ?? []);
    if (gaps.length < minStreams) return Infinity;
    const quietMs = now - Math.max(...group.map((stream) => stream.lastEventAt() ?? 0));
    const remainingMs = pauseFactor * upperMedian(gaps) + pauseSlackMs - quietMs;
    if (remainingMs > 0) return remainingMs;
    if (now - (probedAt.get(key) ?? -Infinity) < probeIntervalMs) return minIntervalMs;
    probedAt.set(key, now);
    probe(key, group[0]!.parts(), quietMs);
    return probeIntervalMs;
  }

  /** Checks all chains; returns the time until one of them may need a probe. */
  function checkChains(now: number): number {
    const groups = groupBy([...streams], chainKeyOf);
    [...probedAt.keys()].filter((key) => !groups.has(key)).forEach((key) => probedAt.delete(key));
    return Math.min(...[...groups].map(([key, group]) => checkChain(key, group, now)));
  }

  function scheduleCheck(ms: number) {
    const intervalMs = Math.min(maxIntervalMs, Math.max(minIntervalMs, Math.ceil(ms)));
    dueAt = clock.now() + intervalMs;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each schedules the other
    cancel = clock.after(intervalMs, checkAll);
  }

  function checkAll() {
    const now = clock.now();
    const isBlocked = now - dueAt! > maxDelayMs;
    dueAt = undefined;
    const nextMs = isBlocked ? minIntervalMs : checkChains(now);
    if (streams.size > 0) scheduleCheck(nextMs);
  }

  return {
    watch(stream) {
      streams.add(stream);
      if (dueAt === undefined && !isClosed) scheduleCheck(minIntervalMs);
      return () => streams.delete(stream);
    },
    close() {
      isClosed = true;
      cancel();
      streams.clear();
    },
  };
}
