/**
 * Takes tokens for requests to targets that limit their rate. Of the entries in a target's zone,
 * the one with the highest rendezvous score keeps its bucket. All entries ask it, so they need not
 * exchange what each of them sends.
 */
import type { Logger } from 'pino';
import {
  errorFields, incarnationOf, rendezvousScore, type Clock, type ServingTarget, type TargetBuckets,
} from '@verbenashunt/core';
import { exchangeOnce, type Exchanger } from '@verbenashunt/wire';
import type { EntryRecord } from '../store/entry-rows.js';

/** Path under which an entry gives tokens of its buckets, followed by the target. */
export const tokenPath = '/tokens';

/** A target as the entry that keeps its bucket needs to know it. */
export interface LimitedTarget {
  /** Incarnation. */
  target: string;
  zone: string;
  limitPerS: number;
}

export interface RateLimiterDeps {
  clock: Clock;
  log: Logger;
  /** For calls to other entries. */
  exchanger: Exchanger;
  buckets: TargetBuckets;
  node: string;
  entries(): readonly EntryRecord[];
}

export interface RateLimiter {
  /** Takes a token for a request; resolves to 0, or to the milliseconds until another try. */
  take(limited: LimitedTarget): Promise<number>;
  /**
   * The same for another entry that takes this one for the keeper of the bucket. If it knows a
   * better one, as entries may know of different ones, it asks that, unless `isFinal`.
   */
  takeForOther(limited: LimitedTarget, isFinal: boolean): Promise<number>;
  /** Number of entries that may keep the bucket of a target in this zone, at least 1. */
  keeperCount(zone: string): number;
}

/** Timeout in milliseconds of a call that the other entry decides by itself. */
const decideTimeoutMs = 100;
/** Timeout in milliseconds of a call that the other entry may have to pass on first. */
const takeTimeoutMs = 250;
/**
 * Time in milliseconds for which an entry that did not answer is not asked. Meanwhile the next one
 * keeps its buckets, so a short one limits the time in which there are two.
 */
const avoidMs = 1000;
/** Delay in milliseconds before another try when no entry could tell. */
const unknownWaitMs = 50;
const statusOk = 200;

export const toLimitedTarget = (target: ServingTarget, limitPerS: number): LimitedTarget => ({
  target: incarnationOf(target), zone: target.zone, limitPerS,
});

interface Keeper {
  node: string;
  address: string;
}

export function createRateLimiter(deps: RateLimiterDeps): RateLimiter {
  const {
    clock, log, exchanger, buckets, node,
  } = deps;
  /** End of the time for which an entry is not asked, by VM. */
  const avoidedUntil = new Map<string, number>();

  /** Entries of the zone that others can reach; those of all zones if it has none. */
  function keepersIn(zone: string): Keeper[] {
    const reachable = deps.entries().flatMap((entry) => (
      entry.relay ? [{ node: entry.node, ...entry.relay }] : []));
    const ofZone = reachable.filter((entry) => entry.zone === zone);
    return ofZone.length > 0 ? ofZone : reachable;
  }

  /** The entry that keeps a target's bucket; undefined if none can be reached. */
  function keeperOf({ target, zone }: LimitedTarget): Keeper | undefined {
    const isAvoided = (other: string) => (avoidedUntil.get(other) ?? -Infinity) > clock.now();
    return keepersIn(zone).filter((keeper) => !isAvoided(keeper.node))
      .map((keeper) => ({ ...keeper, score: rendezvousScore(target, keeper.node) }))
      .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))[0];
  }

  const takeHere = ({ target, limitPerS }: LimitedTarget) => buckets.take(target, limitPerS);

  /** Without a keeper, each entry may use its part of the limit. */
  const takeShare = ({ target, limitPerS }: LimitedTarget) => buckets
    .take(target, limitPerS / Math.max(1, deps.entries().length));

  /** Asks the keeper; rejects with TargetError if it does not answer. */
  async function ask(
    { address }: Keeper,
    { target, zone, limitPerS }: LimitedTarget,
    isFinal: boolean,
  ): Promise<number> {
    const query = new URLSearchParams({ zone, limit: String(limitPerS) });
    if (isFinal) query.set('final', '1');
    const { status, body } = await exchangeOnce(exchanger, address, {
      method: 'POST',
      path: `${tokenPath}/${encodeURIComponent(target)}?${query}`,
      headers: ['Host', address],
      body: undefined,
    }, isFinal ? decideTimeoutMs : takeTimeoutMs);
    const waitMs = Number(body.toString());
    return status === statusOk && waitMs >= 0 ? waitMs : unknownWaitMs;
  }

  function avoid(keeper: Keeper, err: unknown) {
    avoidedUntil.set(keeper.node, clock.now() + avoidMs);
    log.info({ entry: keeper.node, ...errorFields(err) }, 'entry gave no token');
  }

  async function take(limited: LimitedTarget): Promise<number> {
    const keeper = keeperOf(limited);
    if (!keeper) return takeShare(limited);
    if (keeper.node === node) return takeHere(limited);
    try {
      return await ask(keeper, limited, false);
    } catch (err) {
      avoid(keeper, err);
      return unknownWaitMs;
    }
  }

  async function takeForOther(limited: LimitedTarget, isFinal: boolean): Promise<number> {
    const keeper = isFinal ? undefined : keeperOf(limited);
    if (!keeper || keeper.node === node) return takeHere(limited);
    try {
      return await ask(keeper, limited, true);
    } catch (err) {
      avoid(keeper, err);
      return takeForOther(limited, isFinal);
    }
  }

  return {
    take,
    takeForOther,
    keeperCount: (zone) => Math.max(1, keepersIn(zone).length),
  };
}
