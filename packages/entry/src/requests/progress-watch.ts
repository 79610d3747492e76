/** Detects stalled answers: requests the status of all stages if no token arrives in time. */
import type { Clock } from '@verbenashunt/core';
import type { StallDetector } from './stall-detector.js';

/** Time without a token before the first probe, and the interval between probes. */
const probeIntervalMs = 300;
/** A timer that fires later than this shows that this process itself was stalled. */
const maxTimerDelayMs = 100;

export interface ProgressWatchDeps {
  clock: Clock;
  stall: StallDetector;
  /** Monotonic milliseconds of the last token; undefined while no attempt is running. */
  lastProgressAt(): number | undefined;
  nodes(): readonly string[];
  /** Requests the status of a stage; the reply goes to the stall detector. */
  requestStatus(node: string): void;
  /** Whether the answer can continue without these nodes. */
  canContinueWithout(nodes: readonly string[]): boolean;
  onStagesFailed(nodes: readonly string[]): void;
}

export interface ProgressWatch {
  stop(): void;
}

/** Starts watching; runs until stopped. */
export function createProgressWatch(deps: ProgressWatchDeps): ProgressWatch {
  const { clock, stall } = deps;
  let stopped = false;
  let cancel = () => {};

  function check(dueAt: number) {
    const at = deps.lastProgressAt();
    const now = clock.now();
    if (at === undefined || now - at < probeIntervalMs || now - dueAt > maxTimerDelayMs) {
      stall.reset();
      return;
    }
    const faulty = stall.findFaultyNodes(deps.nodes());
    if (faulty.length > 0 && deps.canContinueWithout(faulty)) deps.onStagesFailed(faulty);
    else deps.nodes().forEach(deps.requestStatus);
  }

  function schedule() {
    const dueAt = clock.now() + probeIntervalMs;
    cancel = clock.after(probeIntervalMs, () => {
      check(dueAt);
      if (!stopped) schedule();
    });
  }

  schedule();
  return {
    stop() {
      stopped = true;
      cancel();
    },
  };
}
