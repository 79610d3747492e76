/**
 * Failure detector for one connection: decides when to ping the peer and when to suspect it.
 * The ping timeout is derived from the smoothed mean and deviation of the measured round-trip
 * times (Jacobson and Karels, "Congestion Avoidance and Control"; constants from RFC 6298).
 */

export interface DetectorOptions {
  /** Milliseconds without received bytes after which an active connection is pinged. */
  activePingMs: number;
  /** The same for an idle connection. */
  idlePingMs: number;
  /** Bounds of the ping timeout in milliseconds. */
  minTimeoutMs: number;
  maxTimeoutMs: number;
  /** Milliseconds without a pong after which an active connection is pinged in any case. */
  maxPongAgeMs: number;
}

export const detectorDefaults: DetectorOptions = {
  activePingMs: 200,
  idlePingMs: 10_000,
  minTimeoutMs: 300,
  maxTimeoutMs: 1000,
  maxPongAgeMs: 1000,
};

/** `due`: the caller should send a ping; `suspect`: the peer may have failed. */
export type DetectorVerdict = 'wait' | 'due' | 'suspect';

export interface Detector {
  /** Milliseconds that a ping may stay unanswered while no other bytes arrive. */
  readonly timeoutMs: number;
  /** Records that bytes arrived from the peer. */
  received(now: number): void;
  /** Records the answer to ping `n`; answers to other pings than the pending one are ignored. */
  pong(n: number, now: number): void;
  /** `stalledMs` is the time since the last call during which this process did not run. */
  tick(now: number, active: boolean, stalledMs: number): DetectorVerdict;
  /** Registers a ping that is sent now and returns its number. */
  startPing(now: number): number;
}

// Alpha, beta and K of RFC 6298.
const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const deviationFactor = 4;
/** Multiple of the timeout granted to a ping while other bytes still arrive from the peer. */
const oneWayTimeoutFactor = 4;

/** Estimates the round-trip time in milliseconds. */
function createRttEstimator() {
  let mean: number | undefined;
  let deviation = 0;
  return {
    add(ms: number) {
      if (mean === undefined) {
        mean = ms;
        deviation = ms / 2;
        return;
      }
      deviation += deviationGain * (Math.abs(ms - mean) - deviation);
      mean += meanGain * (ms - mean);
    },
    upperBoundMs: () => (mean ?? 0) + deviationFactor * deviation,
  };
}

export function createDetector(now: number, options: Partial<DetectorOptions> = {}): Detector {
  const cfg = { ...detectorDefaults, ...options };
  const rtt = createRttEstimator();
  let lastReceivedAt = now;
  let lastPongAt = now;
  let pendingPing: { n: number; at: number } | undefined;
  let lastPingNumber = 0;

  const timeoutMs = () => Math
    .min(cfg.maxTimeoutMs, Math.max(cfg.minTimeoutMs, rtt.upperBoundMs()));

  function isOverdue(at: number): boolean {
    if (!pendingPing) return false;
    const allowedMs = lastReceivedAt > pendingPing.at
      ? oneWayTimeoutFactor * timeoutMs()
      : timeoutMs();
    return at - pendingPing.at > allowedMs;
  }

  function isPingDue(at: number, active: boolean): boolean {
    if (pendingPing) return false;
    if (at - lastReceivedAt >= (active ? cfg.activePingMs : cfg.idlePingMs)) return true;
    return active && at - lastPongAt >= cfg.maxPongAgeMs;
  }

  return {
    get timeoutMs() {
      return timeoutMs();
    },
    received(at) {
      lastReceivedAt = at;
    },
    pong(n, at) {
      if (pendingPing?.n !== n) return;
      rtt.add(at - pendingPing.at);
      pendingPing = undefined;
      lastPongAt = at;
    },
    tick(at, active, stalledMs) {
      if (stalledMs > 0) {
        lastReceivedAt += stalledMs;
        lastPongAt += stalledMs;
        if (pendingPing) pendingPing = { ...pendingPing, at: pendingPing.at + stalledMs };
      }
      if (isOverdue(at)) return 'suspect';
      return isPingDue(at, active) ? 'due' : 'wait';
    },
    startPing(at) {
      lastPingNumber += 1;
      pendingPing = { n: lastPingNumber, at };
      return lastPingNumber;
    },
  };
}
