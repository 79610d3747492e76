/**
 * Recognises rows of targets that a restored copy of the platform's store brings back. Such a row
 * may describe a process that has ended or is about to; the row of a live target is written again
 * or at least kept from expiring.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';
import { incarnationOf, type ServingTarget } from './targets.js';

export interface RestoredRows {
  /** Records that the row of a target's incarnation was removed or replaced. */
  recordEnded(target: ServingTarget): void;
  /** Records that a target has written its row, so that this incarnation is alive. */
  recordWritten(target: ServingTarget): void;
  /** Records that the store was restored; returns the milliseconds for which rows are doubted. */
  storeRestored(): number;
  /** Whether a row that names this target may only be back because of a restoration. */
  isDoubtful(target: ServingTarget): boolean;
}

/** Ended incarnations that are remembered; the least recently ended ones are evicted. */
const maxIncarnations = 4096;
/** Heartbeats after which the row of an ended target has expired from the restored store. */
const expiryHeartbeats = 4;

export function createRestoredRows(clock: Clock, heartbeatMs: number): RestoredRows {
  const ended = new QuickLRU<string, true>({ maxSize: maxIncarnations });
  const doubtMs = expiryHeartbeats * heartbeatMs;
  let doubtEnd = -Infinity;

  return {
    recordEnded: (target) => ended.set(incarnationOf(target), true),
    recordWritten: (target) => ended.delete(incarnationOf(target)),
    storeRestored() {
      doubtEnd = clock.now() + doubtMs;
      return doubtMs;
    },
    isDoubtful: (target) => clock.now() < doubtEnd && ended.has(incarnationOf(target)),
  };
}
