/** One ticker per process that pings connections, watches their silence and its own stalls. */
import {
  createDetector, createStallMeter, type Clock, type DetectorOptions,
} from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { Connection } from './connection.js';

const tickMs = 50;

/** Time after its last work for which a connection counts as in use, in milliseconds. */
const activeMs = 10_000;

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

type Ticker = (now: number, stalledMs: number) => void;

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
    [...tickers].forEach((ticker) => ticker(now, stalledMs));
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
      return add((now, stalledMs) => {
        if (connection.heardAt > seen) {
          seen = connection.heardAt;
          told = false;
          detector.heard(seen);
        }
        const verdict = detector.tick(now, now - connection.usedAt < activeMs, stalledMs);
        if (verdict.act === 'ping') connection.send(message(verdict.n));
        if (verdict.act !== 'suspect' || told) return;
        told = true;
        onSuspect();
      }, (n) => detector.pong(n, clock.now()));
    },
    listen(connection, limitMs, onSilent) {
      let allowedMs = limitMs;
      const watch = add((now, stalledMs) => {
        allowedMs = now - connection.heardAt <= limitMs ? limitMs : allowedMs + stalledMs;
        if (now - connection.heardAt <= allowedMs) return;
        watch.stop();
        onSilent();
      }, () => {});
      return watch;
    },
    close() {
      tickers.clear();
      cancel?.();
    },
  };
}
