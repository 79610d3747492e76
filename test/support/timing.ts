/** Waits, repetitions and standstills in tests. All times are in milliseconds. */

export const wait = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

/** Blocks the event loop, as a freeze does; sockets fill and timers become due meanwhile. */
export function blockLoop(ms: number) {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Repeats a step, with a pause before each, until a time of `performance.now()`. */
export async function repeatUntil(endsAt: number, pauseMs: () => number, step: () => unknown) {
  await wait(pauseMs());
  if (performance.now() > endsAt) return;
  await step();
  await repeatUntil(endsAt, pauseMs, step);
}
