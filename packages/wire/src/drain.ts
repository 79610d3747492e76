/** Waits for the work in flight when a daemon stops. */
import type { Clock } from '@verbenashunt/core';

const drainPollMs = 20;

export interface DrainOptions {
  clock: Clock;
  /** Minimum wait, even if idle, during which new requests still get a refusal as response. */
  minWaitMs: number;
  timeoutMs: number;
  /** Ends the wait early. */
  signal?: AbortSignal | undefined;
  /** Whether no work is in flight. */
  isIdle(): boolean;
}

/** Waits until no work is in flight; resolves to false if the wait was cut short before that. */
export async function drain(options: DrainOptions): Promise<boolean> {
  const { clock, signal, isIdle } = options;
  const startedAt = clock.now();

  const isDone = () => {
    const waitedMs = clock.now() - startedAt;
    const isDrained = waitedMs >= options.minWaitMs && isIdle();
    return isDrained || waitedMs >= options.timeoutMs || (signal?.aborted ?? false);
  };
  const wait = () => new Promise<void>((resolve) => {
    clock.after(drainPollMs, resolve);
  });
  const poll = async (): Promise<void> => {
    if (isDone()) return;
    await wait();
    await poll();
  };

  await poll();
  return isIdle();
}
