/** Token bucket rate limiter; the caller passes the current time in milliseconds. */

export interface TokenBucket {
  /** Takes one token and returns 0, or returns the milliseconds until one is available. */
  take(now: number): number;
  /** Sets the rate in tokens per second, and the size of the bucket if given, from `now` on. */
  setRate(rate: number, now: number, burst?: number): void;
}

const millisecondsPerSecond = 1000;

/**
 * Creates a bucket for up to `initialBurst` tokens, full unless `initialTokens` is given;
 * `initialRate` is in tokens per second.
 */
export function createTokenBucket(
  initialRate: number,
  initialBurst: number,
  startTime: number,
  initialTokens = initialBurst,
): TokenBucket {
  let rate = initialRate;
  let burst = initialBurst;
  let tokens = initialTokens;
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
    setRate(newRate, now, newBurst = burst) {
      refill(now);
      rate = newRate;
      burst = newBurst;
      tokens = Math.min(burst, tokens);
    },
  };
}
