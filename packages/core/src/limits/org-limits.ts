/**
 * Rate and concurrency limits of organisations at one entry. The declared limits hold across all
 * entries, so that each entry enforces its fraction of them.
 */
import { createRefusal, type Refusal } from '../errors/errors.js';
import { createLimitShare, type DemandReport, type LimitShare } from './shares.js';
import { createTokenBucket, type TokenBucket } from './token-bucket.js';

/** Declared limits across all entries; an absent field means no limit. */
export interface OrgLimit {
  requestsPerSecond?: number;
  burst?: number;
  concurrency?: number;
}

export interface OrgLimits {
  /** Counts a request as in flight, or returns why it is refused. */
  acquire(org: string, limit: OrgLimit): Refusal | undefined;
  /** Ends a request that `acquire` counted as in flight. */
  release(org: string): void;
  /**
   * Requests per second of each organisation at this entry since the last call, for the reports to
   * the other entries. Resets the counts.
   */
  measureDemand(): Map<string, number>;
  /** Records the demand that another entry reported. */
  recordPeerDemand(entry: string, org: string, report: DemandReport): void;
}

export interface OrgLimitsDeps {
  now(): number;
  /** Names of the other live entries. */
  otherEntries(): readonly string[];
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

export function createOrgLimits({ now, otherEntries }: OrgLimitsDeps): OrgLimits {
  const states = new Map<string, OrgState>();
  let measuredAt = now();

  function getOrCreateState(org: string): OrgState {
    const state = states.get(org) ?? {
      inFlight: 0, arrivals: 0, demand: 0, bucket: undefined, share: createLimitShare(),
    };
    states.set(org, state);
    return state;
  }

  /** Takes a token when the rate limit allows the request; otherwise returns the wait in ms. */
  function rateWaitMs(state: OrgState, limit: OrgLimit, fraction: number): number {
    const { requestsPerSecond, burst } = limit;
    if (requestsPerSecond === undefined) return 0;
    const rate = requestsPerSecond * fraction;
    const bucketSize = Math.max(1, (burst ?? requestsPerSecond) * fraction);
    const bucket = state.bucket ?? createTokenBucket(rate, bucketSize, now());
    Object.assign(state, { bucket });
    bucket.setRate(rate, now());
    return bucket.take(now());
  }

  return {
    acquire(org, limit) {
      const state = getOrCreateState(org);
      state.arrivals += 1;
      const fraction = state.share.fraction(state.demand, otherEntries(), now());
      const maxInFlight = limit.concurrency === undefined
        ? Infinity
        : Math.max(1, Math.floor(limit.concurrency * fraction));
      if (state.inFlight >= maxInFlight) {
        return createRefusal('rate_limited', { detail: 'concurrency', retryAfterMs: concurrencyRetryMs });
      }
      const waitMs = rateWaitMs(state, limit, fraction);
      if (waitMs > 0) return createRefusal('rate_limited', { detail: 'rate', retryAfterMs: waitMs });
      state.inFlight += 1;
      return undefined;
    },
    release(org) {
      const state = getOrCreateState(org);
      state.inFlight = Math.max(0, state.inFlight - 1);
    },
    measureDemand() {
      const seconds = Math.max(1, now() - measuredAt) / millisecondsPerSecond;
      measuredAt = now();
      states.forEach((state) => {
        Object.assign(state, { demand: state.arrivals / seconds, arrivals: 0 });
      });
      return new Map([...states].map(([org, { demand }]) => [org, demand]));
    },
    recordPeerDemand: (entry, org, report) => getOrCreateState(org).share
      .recordReport(entry, report),
  };
}
