/** Token bucket in passed-in time. */

export interface TokenBucket {
  /** Takes one token; returns 0, or the milliseconds until one is there. */
  take(now: number): number;
  /** Changes the rate in tokens per second, from `now` on. */
  setRate(rate: number, now: number): void;
}

const millisecondsPerSecond = 1000;

/** Creates a full bucket; `rate` is in tokens per second. */
export function createTokenBucket(initialRate: number, burst: number, start: number): TokenBucket {
  let rate = initialRate;
  let tokens = burst;
  let at = start;

  function refill(now: number) {
    tokens = Math.min(burst, tokens + ((now - at) * rate) / millisecondsPerSecond);
    at = now;
  }

  return {
    take(now) {
      refill(now);
      if (tokens >= 1) {
        tokens -= 1;
        return 0;
      }
      return Math.ceil(((1 - tokens) * millisecondsPerSecond) / rate);
    },
    setRate(next, now) {
      refill(now);
      rate = next;
    },
  };
}
