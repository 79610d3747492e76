/** One ticker per process that pings connections, watches their silence and its own stalls. */
import {
  createDetector, createStallMeter, type Clock, type DetectorOptions,
} from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { Connection } from './connection.js';

const tickMs = 50;

/** Time after its last work for which a connection counts as in use, in milliseconds. */
const activeMs = 10_000;

/** Pings that a process sends a second, whatever its number of connections. */
const maxPingsPerSecond = 40;
const maxPingsPerTick = (maxPingsPerSecond * tickMs) / 1000;

export interface Watch {
  /** Passes a pong to the detector. */
  pong(n: number): void;
  stop(): void;
}

export interface Heartbeats {
  /** Pings a connection when it is silent; `onSuspect` is called at most once in a silence. */
  ping(connection: Connection, message: (n: number) => Message, onSuspect: () => void): Watch;
  /** Calls `onSilent` once when nothing was heard for `limitMs`; sends nothing. */
  listen(connection: Connection, limitMs: number, onSilent: () => void): Watch;
  close(): void;
}

export interface HeartbeatOptions {
  clock: Clock;
  detector?: Partial<DetectorOptions>;
  /** Hears of time in which this process did not run, in milliseconds. */
  onStall?: (ms: number) => void;
}

/** A ping that is due. */
interface Due {
  connection: Connection;
  send(now: number): void;
}

type Ticker = (now: number, stalledMs: number) => Due | undefined;

/**
 * Picks the pings for one tick: half for the connections that carried work last, since a silence
 * there holds up an answer, the rest for those that were silent longest.
 */
export function choosePings<T extends { connection: Pick<Connection, 'usedAt' | 'heardAt'> }>(
  due: readonly T[],
  allowance: number,
): T[] {
  if (due.length <= allowance) return [...due];
  const recent = [...due].sort((a, b) => b.connection.usedAt - a.connection.usedAt)
    .slice(0, Math.ceil(allowance / 2));
  const silent = due.filter((one) => !recent.includes(one))
    .sort((a, b) => a.connection.heardAt - b.connection.heardAt);
  return [...recent, ...silent.slice(0, allowance - recent.length)];
}

/** Creates the ticker. It runs while something is watched. */
export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const { clock } = options;
  const tickers = new Set<Ticker>();
  let meter = createStallMeter(clock.now(), tickMs);
  let cancel: (() => void) | undefined;

  function tick() {
    const now = clock.now();
    const stalledMs = meter.measure(now);
    if (stalledMs > 0) options.onStall?.(stalledMs);
    cancel = tickers.size > 0 ? clock.after(tickMs, tick) : undefined;
    const due = [...tickers].flatMap((ticker) => ticker(now, stalledMs) ?? []);
    choosePings(due, maxPingsPerTick).forEach(({ send }) => send(now));
  }

  function add(ticker: Ticker, pong: Watch['pong']): Watch {
    tickers.add(ticker);
    if (!cancel) {
      meter = createStallMeter(clock.now(), tickMs);
      cancel = clock.after(tickMs, tick);
    }
    return { pong, stop: () => tickers.delete(ticker) };
  }

  return {
    ping(connection, message, onSuspect) {
      const detector = createDetector(clock.now(), options.detector);
      let seen = connection.heardAt;
      let told = false;
      const due: Due = {
        connection, send: (now) => connection.send(message(detector.startPing(now))),
      };
      return add((now, stalledMs) => {
        if (connection.heardAt > seen) {
          seen = connection.heardAt;
          told = false;
          detector.received(seen);
        }
        const verdict = detector.tick(now, now - connection.usedAt < activeMs, stalledMs);
        if (verdict === 'due') return due;
        if (verdict === 'wait' || told) return undefined;
        told = true;
        onSuspect();
        return undefined;
      }, (n) => detector.pong(n, clock.now()));
    },
    listen(connection, limitMs, onSilent) {
      let allowedMs = limitMs;
      const watch = add((now, stalledMs) => {
        allowedMs = now - connection.heardAt <= limitMs ? limitMs : allowedMs + stalledMs;
        if (now - connection.heardAt <= allowedMs) return undefined;
        watch.stop();
        onSilent();
        return undefined;
      }, () => {});
      return watch;
    },
    close() {
      tickers.clear();
      cancel?.();
    },
  };
}
