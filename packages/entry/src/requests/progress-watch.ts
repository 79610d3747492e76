/** Watches that an answer goes on: asks its stages when no token came for a while. */
import type { Clock } from '@verbenashunt/core';
import type { StallDetector } from './stall.js';

/** Time without a token after which the stages are asked, and between two questions. */
const probeMs = 300;
/** A probe that fires this late tells of this process's own stall. */
const ownStallMs = 100;

export interface ProgressWatchDeps {
  clock: Clock;
  stall: StallDetector;
  /** Monotonic milliseconds of the last token; undefined while nothing is set going. */
  progressAt(): number | undefined;
  nodes(): readonly string[];
  /** Asks a stage where it is; its answer goes to the stall detector. */
  ask(node: string): void;
  /** Whether the answer can go on without these nodes. */
  mayLose(nodes: readonly string[]): boolean;
  lose(nodes: readonly string[]): void;
}

export interface ProgressWatch {
  stop(): void;
}

/** Starts watching; runs until stopped. */
export function createProgressWatch(deps: ProgressWatchDeps): ProgressWatch {
  const { clock, stall } = deps;
  let stopped = false;
  let cancel = () => {};

  function look(dueAt: number) {
    const at = deps.progressAt();
    const now = clock.now();
    if (at === undefined || now - at < probeMs || now - dueAt > ownStallMs) {
      stall.reset();
      return;
    }
    const lost = stall.judge(deps.nodes());
    if (lost.length > 0 && deps.mayLose(lost)) deps.lose(lost);
    else deps.nodes().forEach(deps.ask);
  }

  function arm() {
    const dueAt = clock.now() + probeMs;
    cancel = clock.after(probeMs, () => {
      look(dueAt);
      if (!stopped) arm();
    });
  }

  arm();
  return {
    stop() {
      stopped = true;
      cancel();
    },
  };
}
