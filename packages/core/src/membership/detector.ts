/**
 * Failure detector of one connection: decides when to ping and when a silence is suspect.
 * The time-out follows the measured round trips by their smoothed mean and deviation
 * (Jacobson and Karels, "Congestion Avoidance and Control"; constants of RFC 6298).
 */

export interface DetectorOptions {
  /** Silence in milliseconds after which a connection in use is pinged. */
  activePingMs: number;
  /** The same for a connection that carried no work for a while. */
  idlePingMs: number;
  /** Bounds of the time-out of a ping in milliseconds. */
  minTimeoutMs: number;
  maxTimeoutMs: number;
  /** Milliseconds without a pong after which a ping is due although other bytes arrive. */
  confirmMs: number;
}

export const detectorDefaults: DetectorOptions = {
  activePingMs: 200,
  idlePingMs: 10_000,
  minTimeoutMs: 300,
  maxTimeoutMs: 1000,
  confirmMs: 1000,
};

/** What the caller does now: send a ping when it can, hold the peer for suspect, or neither. */
export type Verdict = 'wait' | 'due' | 'suspect';

export interface Detector {
  /** Milliseconds that a ping may stay unanswered while nothing else is heard. */
  readonly timeoutMs: number;
  /** Bytes arrived. */
  heard(now: number): void;
  /** The answer to ping `n` arrived. */
  pong(n: number, now: number): void;
  /** `stalledMs` is the part of the time since the last call in which this process did not run. */
  tick(now: number, active: boolean, stalledMs: number): Verdict;
  /** Takes the number of a ping that is sent now. */
  ping(now: number): number;
}

const meanShare = 1 / 8;
const deviationShare = 1 / 4;
const deviations = 4;
/** A ping that only other traffic follows is given this many time-outs. */
const oneWayTimeouts = 4;

/** Smoothed round trip in milliseconds. */
function createRoundTrip() {
  let mean: number | undefined;
  let deviation = 0;
  return {
    add(ms: number) {
      if (mean === undefined) {
        mean = ms;
        deviation = ms / 2;
        return;
      }
      deviation += deviationShare * (Math.abs(ms - mean) - deviation);
      mean += meanShare * (ms - mean);
    },
    bound: () => (mean ?? 0) + deviations * deviation,
  };
}

export function createDetector(now: number, options: Partial<DetectorOptions> = {}): Detector {
  const cfg = { ...detectorDefaults, ...options };
  const roundTrip = createRoundTrip();
  let heardAt = now;
  let pongAt = now;
  let sent: { n: number; at: number } | undefined;
  let count = 0;

  const timeoutMs = () => Math.min(cfg.maxTimeoutMs, Math.max(cfg.minTimeoutMs, roundTrip.bound()));

  function overdue(at: number): boolean {
    if (!sent) return false;
    const allowed = heardAt > sent.at ? oneWayTimeouts * timeoutMs() : timeoutMs();
    return at - sent.at > allowed;
  }

  function due(at: number, active: boolean): boolean {
    if (sent) return false;
    if (at - heardAt >= (active ? cfg.activePingMs : cfg.idlePingMs)) return true;
    return active && at - pongAt >= cfg.confirmMs;
  }

  return {
    get timeoutMs() {
      return timeoutMs();
    },
    heard(at) {
      heardAt = at;
    },
    pong(n, at) {
      if (sent?.n !== n) return;
      roundTrip.add(at - sent.at);
      sent = undefined;
      pongAt = at;
    },
    tick(at, active, stalledMs) {
      if (stalledMs > 0) {
        heardAt += stalledMs;
        pongAt += stalledMs;
        if (sent) sent = { ...sent, at: sent.at + stalledMs };
      }
      if (overdue(at)) return 'suspect';
      return due(at, active) ? 'due' : 'wait';
    },
    ping(at) {
      count += 1;
      sent = { n: count, at };
      return count;
    },
  };
}
