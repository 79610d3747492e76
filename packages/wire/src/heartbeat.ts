/**
 * Heartbeats of all peer connections, driven by one timer per process. They send pings, detect
 * silent peers, and measure stalls of this process so that no peer is blamed for them.
 */
import {
  createDetector, createStallMeter, type Clock, type DetectorOptions,
} from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { Connection } from './connection.js';

const tickMs = 50;

/** Time after its last use for which a connection counts as active, in milliseconds. */
const activePeriodMs = 10_000;

/** Limit on the pings that a process sends per second, over all its connections. */
const maxPingsPerSecond = 40;
const maxPingsPerTick = (maxPingsPerSecond * tickMs) / 1000;

export interface Watch {
  /** Tells the failure detector that the answer to ping `n` arrived. */
  pong(n: number): void;
  stop(): void;
}

export interface Heartbeats {
  /** Pings a connection while it is silent; calls `onSuspect` at most once per silence. */
  ping(connection: Connection, createPing: (n: number) => Message, onSuspect: () => void): Watch;
  /** Calls `onSilent` once if nothing is received for `limitMs`; sends nothing. */
  watchSilence(connection: Connection, limitMs: number, onSilent: () => void): Watch;
  close(): void;
}

export interface HeartbeatOptions {
  clock: Clock;
  detector?: Partial<DetectorOptions>;
  /** Called with the length of each period in which this process did not run. */
  onStall?: (ms: number) => void;
}

interface DuePing {
  connection: Connection;
  send(now: number): void;
}

/** Checks one connection on a tick; returns the ping that it needs now, if any. */
type TickHandler = (now: number, stalledMs: number) => DuePing | undefined;

/**
 * Chooses the pings for one tick. Half go to the most recently used connections, since a request
 * may be waiting on them; the rest go to those that have been silent longest.
 */
export function choosePings<T extends { connection: Pick<Connection, 'lastUsedAt' | 'lastReceivedAt'> }>(
  due: readonly T[],
  maxPings: number,
): T[] {
  if (due.length <= maxPings) return [...due];
  const recent = [...due].sort((a, b) => b.connection.lastUsedAt - a.connection.lastUsedAt)
    .slice(0, Math.ceil(maxPings / 2));
  const silent = due.filter((ping) => !recent.includes(ping))
    .sort((a, b) => a.connection.lastReceivedAt - b.connection.lastReceivedAt);
  return [...recent, ...silent.slice(0, maxPings - recent.length)];
}

/** Creates the heartbeats; the timer runs only while a connection is watched. */
export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const { clock } = options;
  const tickHandlers = new Set<TickHandler>();
  let stallMeter = createStallMeter(clock.now(), tickMs);
  let cancel: (() => void) | undefined;

  function tick() {
    const now = clock.now();
    const stalledMs = stallMeter.measure(now);
    if (stalledMs > 0) options.onStall?.(stalledMs);
    cancel = tickHandlers.size > 0 ? clock.after(tickMs, tick) : undefined;
    const due = [...tickHandlers].flatMap((handler) => handler(now, stalledMs) ?? []);
    choosePings(due, maxPingsPerTick).forEach(({ send }) => send(now));
  }

  function add(handler: TickHandler, pong: Watch['pong']): Watch {
    tickHandlers.add(handler);
    if (!cancel) {
      stallMeter = createStallMeter(clock.now(), tickMs);
      cancel = clock.after(tickMs, tick);
    }
    return { pong, stop: () => tickHandlers.delete(handler) };
  }

  return {
    ping(connection, createPing, onSuspect) {
      const detector = createDetector(clock.now(), options.detector);
      let seenAt = connection.lastReceivedAt;
      let isSuspected = false;
      const due: DuePing = {
        connection,
        send: (now) => connection.send(createPing(detector.startPing(now))),
      };
      return add((now, stalledMs) => {
        if (connection.lastReceivedAt > seenAt) {
          seenAt = connection.lastReceivedAt;
          isSuspected = false;
          detector.received(seenAt);
        }
        const verdict = detector.tick(now, now - connection.lastUsedAt < activePeriodMs, stalledMs);
        if (verdict === 'due') return due;
        if (verdict === 'wait' || isSuspected) return undefined;
        isSuspected = true;
        onSuspect();
        return undefined;
      }, (n) => detector.pong(n, clock.now()));
    },
    watchSilence(connection, limitMs, onSilent) {
      let allowedMs = limitMs;
      const watch = add((now, stalledMs) => {
        allowedMs = now - connection.lastReceivedAt <= limitMs ? limitMs : allowedMs + stalledMs;
        if (now - connection.lastReceivedAt <= allowedMs) return undefined;
        watch.stop();
        onSilent();
        return undefined;
      }, () => {});
      return watch;
    },
    close() {
      tickHandlers.clear();
      cancel?.();
    },
  };
}
