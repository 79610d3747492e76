/**
 * Counts turns of the event loop by duration, and long ones by cause. Garbage collections are known
 * only some time after a turn, so long turns are counted with a delay.
 */
import { PerformanceObserver } from 'node:perf_hooks';
import { createTurnMeter, type Turn, type TurnMeter } from './turn-meter.js';

export interface TurnMetrics {
  turnEnded(ms: number): void;
  longTurn(cause: string): void;
}

interface Pause {
  startTime: number;
  duration: number;
}

/** Duration in milliseconds from which a turn is long. */
const longTurnMs = 10;
/** Time in milliseconds after which all garbage collections of a turn are known. */
const settleMs = 100;
/** Maximum number of garbage collections that are remembered. */
const maxPauses = 64;

export const collectionCause = 'garbage collection';

/** Milliseconds of the pauses that fall into a turn. */
const pausedMs = ({ startedAt, ms }: Turn, pauses: readonly Pause[]) => pauses
  .map(({ startTime, duration }) => Math.min(startTime + duration, startedAt + ms)
    - Math.max(startTime, startedAt))
  .reduce((sum, overlapMs) => sum + Math.max(0, overlapMs), 0);

/** Cause of most of a turn's time, garbage collections included. */
export const causeOf = (turn: Turn, pauses: readonly Pause[]) => (
  2 * pausedMs(turn, pauses) > turn.causeMs ? collectionCause : turn.cause);

export interface MeasuredTurns extends TurnMeter {
  close(): void;
}

/** Measures turns in the time of `performance.now()`, which garbage collections are stated in. */
export function measureTurns(metrics: TurnMetrics): MeasuredTurns {
  let pauses: Pause[] = [];
  const observer = new PerformanceObserver((list) => {
    pauses = [...pauses, ...list.getEntries()].slice(-maxPauses);
  });
  observer.observe({ entryTypes: ['gc'] });

  function onTurn(ms: number, describe: () => Turn) {
    metrics.turnEnded(ms);
    if (ms < longTurnMs) return;
    const turn = describe();
    setTimeout(() => metrics.longTurn(causeOf(turn, pauses)), settleMs).unref();
  }

  const now = () => performance.now();
  const { run } = createTurnMeter({ now, afterTurn: setImmediate, onTurn });
  return { run, close: () => observer.disconnect() };
}
