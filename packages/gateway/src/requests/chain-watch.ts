/**
 * Finds dead targets in the middle of chains soon. All streams that a first target carries through
 * the same chain get their events in the same passes. When all of them pause for longer than
 * usual, the targets of the chain are connected to; those that take no connection are dead. What
 * the first target itself tells comes some hundred milliseconds later.
 */
import type { Logger } from 'pino';
import {
  groupBy, type CancelTimer, type Clock, type ServingTarget,
} from '@verbenashunt/core';
import { middleOf } from './progress.js';

/** A stream that is sent through a chain. */
export interface ChainedStream {
  /** Targets that its tokens pass through, the first one first. */
  parts(): readonly ServingTarget[];
  /** Time of its last event; undefined before the first. */
  heardAt(): number | undefined;
  /** Time between its last two events in milliseconds; undefined before the second. */
  gapMs(): number | undefined;
  /** A target of its chain is dead. */
  stalledBy(address: string): void;
}

export interface ChainWatchDeps {
  clock: Clock;
  log: Logger;
  /** A target takes no connection. */
  onDead(target: ServingTarget): void;
  /** Whether an address takes a connection within a time in milliseconds. */
  takesConnection(address: string, timeoutMs: number): Promise<boolean>;
}

export interface ChainWatch {
  /** Returns the function that ends the watch. */
  watch(stream: ChainedStream): () => void;
  close(): void;
}

/** Time between looks at the streams in milliseconds. */
const tickMs = 10;
/** Delay of a look from which on silence may be this process's own fault, in milliseconds. */
const lateTickMs = 60;
/** Streams of a chain from which on their common pause says something. */
const minStreams = 3;
/** Usual gaps between events after which a common pause is looked into. */
const maxGaps = 1.6;
/** Added to that in milliseconds: a prompt that is read between two passes. */
const slackMs = 10;
/** Time for a target to take a connection in milliseconds; targets of a zone take under one. */
const connectTimeoutMs = 15;
/** Time between looks at one chain in milliseconds. */
const againMs = 200;

const keyOf = (stream: ChainedStream) => stream.parts().map(({ id }) => id).join();

export function createChainWatch(deps: ChainWatchDeps): ChainWatch {
  const { clock, log, takesConnection } = deps;
  const streams = new Set<ChainedStream>();
  /** When chains were last looked into. */
  const lookedAt = new Map<string, number>();
  let tickedAt = clock.now();
  let cancel: CancelTimer = () => {};
  let isClosed = false;

  async function look(key: string, parts: readonly ServingTarget[], quietMs: number) {
    const taken = await Promise.all(parts
      .map(({ address }) => takesConnection(address, connectTimeoutMs)));
    const dead = parts.filter((_, i) => !taken[i]);
    // Where most can't be reached, the fault lies on this side.
    if (dead.length === 0 || dead.length > parts.length / 2) return;
    const stalled = [...streams].filter((stream) => keyOf(stream) === key);
    log.info({
      targets: dead.map(({ id }) => id), quietMs: Math.round(quietMs), streams: stalled.length,
    }, 'targets of a silent chain take no connection');
    dead.forEach(deps.onDead);
    stalled.forEach((stream) => stream.stalledBy(dead[0]!.address));
  }

  function check(key: string, group: readonly ChainedStream[], now: number) {
    const gaps = group.flatMap((stream) => stream.gapMs() ?? []);
    if (gaps.length < minStreams) return;
    const quietMs = now - Math.max(...group.map((stream) => stream.heardAt() ?? 0));
    if (quietMs < maxGaps * middleOf(gaps) + slackMs) return;
    if (now - (lookedAt.get(key) ?? -Infinity) < againMs) return;
    lookedAt.set(key, now);
    look(key, group[0]!.parts(), quietMs);
  }

  function tick() {
    if (isClosed) return;
    cancel = clock.after(tickMs, tick);
    const now = clock.now();
    const isLate = now - tickedAt > lateTickMs;
    tickedAt = now;
    if (isLate) return;
    const groups = groupBy([...streams], keyOf);
    groups.forEach((group, key) => check(key, group, now));
    [...lookedAt.keys()].filter((key) => !groups.has(key)).forEach((key) => lookedAt.delete(key));
  }
  tick();

  return {
    watch(stream) {
      streams.add(stream);
      return () => streams.delete(stream);
    },
    close() {
      isClosed = true;
      cancel();
    },
  };
}
