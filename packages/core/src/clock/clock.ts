/** Clock interface, so that tests can control time and timers. */

/** Cancels a timer; no effect once it has fired. */
export type CancelTimer = () => void;

export interface Clock {
  /** Monotonic milliseconds. */
  now(): number;
  /** Milliseconds since the Unix epoch; for timestamps in records only, as it may jump. */
  wall(): number;
  after(ms: number, callback: () => void): CancelTimer;
}

export class SystemClock implements Clock {
  now() {
    return performance.now();
  }

  wall() {
    return Date.now();
  }

  after(ms: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  }
}

/** A clock for tests that only moves in `advance`; timers fire in order of their due time. */
export class ManualClock implements Clock {
  #now = 0;

  #timers: { at: number; callback: () => void }[] = [];

  now() {
    return this.#now;
  }

  wall() {
    return this.#now;
  }

  after(ms: number, callback: () => void): CancelTimer {
    const timer = { at: this.#now + ms, callback };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Moves time forward by `ms` and fires the timers that become due. */
  advance(ms: number) {
    const end = this.#now + ms;
    for (;;) {
      const due = this.#timers.filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0];
      if (!due) break;
      this.#timers = this.#timers.filter((timer) => timer !== due);
      this.#now = Math.max(this.#now, due.at);
      due.callback();
    }
    this.#now = end;
  }
}
