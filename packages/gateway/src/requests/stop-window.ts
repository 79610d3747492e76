/** Decides which requests a stopping entry still accepts, so that they end before the process. */
import type { RequestSpec } from './spec.js';

export interface StopWindow {
  /** When the stop started, on the entry's clock. */
  startedAt: number;
  /** Time from then until the process is killed, in milliseconds. */
  graceMs: number;
}

/** Part of the grace time that is reserved for the process to exit, in milliseconds. */
export const stopMarginMs = 500;
/**
 * Share of the grace time in which requests are sent whose deadlines lie beyond it. New connections
 * keep arriving until the load balancer notices that this entry is not ready. With the longest
 * deadlines of callers, a stream takes most of the grace time.
 */
const streamShare = 0.35;

type TimedRequest = Pick<RequestSpec, 'kind' | 'expiresAt'>;

const latestEndOf = ({ startedAt, graceMs }: StopWindow) => startedAt + graceMs - stopMarginMs;

/** Time from which nothing is sent to a target whose deadline lies beyond the grace time. */
export const lastSendAt = ({ startedAt, graceMs }: StopWindow) => startedAt + streamShare * graceMs;

/**
 * Whether an accepted request that is sent to a target now is not expected to end before the
 * process does. `expectedMs` is the expected duration of a stream, in milliseconds.
 */
export function isTooLateToSend(
  { kind, expiresAt }: TimedRequest,
  now: number,
  stopWindow: StopWindow,
  expectedMs: number,
): boolean {
  const latestEnd = latestEndOf(stopWindow);
  if (expiresAt <= latestEnd) return false;
  return now >= lastSendAt(stopWindow) || (kind === 'stream' && now + expectedMs > latestEnd);
}

/**
 * The same for a request that arrives now. A call is accepted only if its deadline is in time, as
 * another entry is there for it.
 */
export const isTooLate = (
  req: TimedRequest,
  now: number,
  stopWindow: StopWindow,
  expectedMs: number,
): boolean => (req.kind === 'stream'
  ? isTooLateToSend(req, now, stopWindow, expectedMs)
  : req.expiresAt > latestEndOf(stopWindow));

/** Shortest time limit in milliseconds for accepting connections that wait at the end of a stop. */
const minAcceptMs = 100;
/** Longest time limit in milliseconds for accepting them, where the grace time allows it. */
const maxAcceptMs = 500;

/**
 * Time limit in milliseconds for accepting the connections that wait at the end of a stop.
 * A turn of the event loop accepts one, and turns are slow on a busy VM.
 */
export const acceptMsAtStop = (startedAt: number, now: number, graceMs: number): number => {
  const leftMs = latestEndOf({ startedAt, graceMs }) - now;
  return Math.min(maxAcceptMs, Math.max(minAcceptMs, leftMs));
};

/** Retry delay of a refused caller while another entry serves, in milliseconds. */
const elsewhereRetryMs = 100;
/** Time over which callers' retries are spread once an entry serves again, in milliseconds. */
const returnSpreadMs = 1000;

/**
 * Retry delay for a caller that a stopping entry refuses, in milliseconds. `nextEntryMs` is the
 * time until another entry serves, Infinity if unknown; this entry itself is expected back after
 * the grace time. `share` is a random number in [0, 1) that spreads the retries.
 */
export function stoppingRetryMs(nextEntryMs: number, graceMs: number, share: number): number {
  if (nextEntryMs <= 0) return elsewhereRetryMs;
  return Math.round(Math.min(nextEntryMs, graceMs) + returnSpreadMs * share);
}
