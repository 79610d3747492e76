/** Rate and concurrency of organisations at one entry, as its part of limits across entries. */
import { createRefusal, type Refusal } from '../errors/errors.js';
import { createLimitShare, type DemandReport, type LimitShare } from './shares.js';
import { createTokenBucket, type TokenBucket } from './token-bucket.js';

/** Declared limits; absent ones do not bind. */
export interface OrgLimit {
  requestsPerSecond?: number;
  burst?: number;
  concurrency?: number;
}

export interface OrgLimits {
  /** Counts a request in, or says why it is refused. */
  enter(org: string, limit: OrgLimit): Refusal | undefined;
  /** A request that was counted in is over. */
  leave(org: string): void;
  /** Demand of organisations here since the last call, to be told to the other entries. */
  demand(): Map<string, number>;
  hear(entry: string, org: string, report: DemandReport): void;
}

export interface OrgLimitsDeps {
  now(): number;
  /** The other entries that are live. */
  others(): readonly string[];
}

interface OrgState {
  inFlight: number;
  arrivals: number;
  demand: number;
  bucket: TokenBucket | undefined;
  share: LimitShare;
}

const millisecondsPerSecond = 1000;
const concurrencyRetryMs = 1000;

export function createOrgLimits({ now, others }: OrgLimitsDeps): OrgLimits {
  const states = new Map<string, OrgState>();
  let measuredAt = now();

  function stateOf(org: string): OrgState {
    const state = states.get(org) ?? {
      inFlight: 0, arrivals: 0, demand: 0, bucket: undefined, share: createLimitShare(),
    };
    states.set(org, state);
    return state;
  }

  /** Milliseconds until the rate allows a request; 0 when it does. */
  function rateWaitMs(state: OrgState, limit: OrgLimit, part: number): number {
    const { requestsPerSecond, burst } = limit;
    if (requestsPerSecond === undefined) return 0;
    const rate = requestsPerSecond * part;
    const size = Math.max(1, (burst ?? requestsPerSecond) * part);
    const bucket = state.bucket ?? createTokenBucket(rate, size, now());
    Object.assign(state, { bucket });
    bucket.setRate(rate, now());
    return bucket.take(now());
  }

  return {
    enter(org, limit) {
      const state = stateOf(org);
      state.arrivals += 1;
      const part = state.share.part(state.demand, others(), now());
      const slots = limit.concurrency === undefined
        ? Infinity
        : Math.max(1, Math.floor(limit.concurrency * part));
      if (state.inFlight >= slots) {
        return createRefusal('rate_limited', { detail: 'concurrency', retryAfterMs: concurrencyRetryMs });
      }
      const waitMs = rateWaitMs(state, limit, part);
      if (waitMs > 0) return createRefusal('rate_limited', { detail: 'rate', retryAfterMs: waitMs });
      state.inFlight += 1;
      return undefined;
    },
    leave(org) {
      const state = stateOf(org);
      state.inFlight = Math.max(0, state.inFlight - 1);
    },
    demand() {
      const seconds = Math.max(1, now() - measuredAt) / millisecondsPerSecond;
      measuredAt = now();
      states.forEach((state) => {
        Object.assign(state, { demand: state.arrivals / seconds, arrivals: 0 });
      });
      return new Map([...states].map(([org, { demand }]) => [org, demand]));
    },
    hear: (entry, org, report) => stateOf(org).share.hear(entry, report),
  };
}
