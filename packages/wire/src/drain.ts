/** The wait of a daemon that stops: for the work in flight, up to a bound. */
import type { Clock } from '@verbenashunt/core';

const drainPollMs = 20;

export interface DrainOptions {
  clock: Clock;
  /** Shortest wait, in which new work is still told that it is refused. */
  noticeMs: number;
  timeoutMs: number;
  /** Ends the wait at once. */
  hurry?: AbortSignal | undefined;
  /** Whether nothing is in flight. */
  idle(): boolean;
}

/** Resolves to true once nothing is in flight, or to false when the wait was cut short. */
export async function drain(options: DrainOptions): Promise<boolean> {
  const { clock, hurry, idle } = options;
  const startedAt = clock.now();

  const isOver = () => {
    const waitedMs = clock.now() - startedAt;
    const isNoticed = waitedMs >= options.noticeMs && idle();
    return isNoticed || waitedMs >= options.timeoutMs || (hurry?.aborted ?? false);
  };
  const wait = () => new Promise<void>((resolve) => {
    clock.after(drainPollMs, resolve);
  });
  const poll = async (): Promise<void> => {
    if (isOver()) return;
    await wait();
    await poll();
  };

  await poll();
  return idle();
}
