/**
 * Measures turns of the event loop: from the first of the gateway's work in a turn until the loop
 * has handled all input of that turn. Work is counted by cause, as it is passed to `run`.
 */

/** A turn of the event loop that had work of the gateway. */
export interface Turn {
  startedAt: number;
  ms: number;
  /** Cause of most of its time; `other` if most was spent outside of measured work. */
  cause: string;
  /** Time spent for that cause in milliseconds. */
  causeMs: number;
}

export interface TurnMeter {
  /** Runs a synchronous piece of work; work within it is counted for its own cause only. */
  run<T>(cause: string, work: () => T): T;
}

export interface TurnMeterDeps {
  /** Monotonic milliseconds. */
  now(): number;
  /** Calls back once all input of the current turn was handled. */
  afterTurn(callback: () => void): void;
  /** `describe` finds the cause; it must be called at once, if at all. */
  onTurn(ms: number, describe: () => Turn): void;
}

export const otherCause = 'other';

export function createTurnMeter({ now, afterTurn, onTurn }: TurnMeterDeps): TurnMeter {
  /** Time by cause in the current turn. */
  const times = new Map<string, number>();
  /** Undefined between turns. */
  let startedAt: number | undefined;
  /** Time of the work within the piece of work that runs now. */
  let innerMs = 0;

  function describe(ms: number): Turn {
    const sum = [...times.values()].reduce((total, time) => total + time, 0);
    const [cause, causeMs] = [...times, [otherCause, ms - sum] as const]
      .reduce((most, next) => (next[1] > most[1] ? next : most));
    return {
      startedAt: startedAt!, ms, cause, causeMs,
    };
  }

  function end() {
    const ms = now() - startedAt!;
    onTurn(ms, () => describe(ms));
    startedAt = undefined;
    times.clear();
  }

  return {
    run(cause, work) {
      const at = now();
      if (startedAt === undefined) {
        startedAt = at;
        afterTurn(end);
      }
      const outerInnerMs = innerMs;
      innerMs = 0;
      try {
        return work();
      } finally {
        const ms = now() - at;
        times.set(cause, (times.get(cause) ?? 0) + ms - innerMs);
        innerMs = outerInnerMs + ms;
      }
    },
  };
}
