/** Token bucket rate limiter; the caller passes the current time in milliseconds. */

export interface TokenBucket {
  /** Takes one token and returns 0, or returns the milliseconds until one is available. */
  take(now: number): number;
  /** Sets the rate in tokens per second from `now` on; the bucket size stays the same. */
  setRate(rate: number, now: number): void;
}

const millisecondsPerSecond = 1000;

/** Creates a full bucket of `burst` tokens; `initialRate` is in tokens per second. */
export function createTokenBucket(
  initialRate: number,
  burst: number,
  startTime: number,
): TokenBucket {
  let rate = initialRate;
  let tokens = burst;
  let refilledAt = startTime;

  function refill(now: number) {
    tokens = Math.min(burst, tokens + ((now - refilledAt) * rate) / millisecondsPerSecond);
    refilledAt = now;
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
    setRate(newRate, now) {
      refill(now);
      rate = newRate;
    },
  };
}
