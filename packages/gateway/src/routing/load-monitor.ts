/**
 * Polls engines for reports of their load and speed. An entry polls the engines of its own zone and
 * those that its requests pass through. The entry that holds the lease polls all engines, which
 * finds dead ones before their rows in the store expire.
 */
import type { Logger } from 'pino';
import {
  correctedActive, errorFields, isHeldBack,
  type Clock, type HeldRange, type ServingTarget, type TargetPauses, type TargetRateLimits,
} from '@verbenashunt/core';
import { requestReport, type ReportDeps } from './report.js';

export interface LoadMonitorDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
  /** Engines to poll now. */
  engines(): readonly ServingTarget[];
  pauses: TargetPauses;
  rateLimits: Pick<TargetRateLimits, 'limitOf'>;
  /** Number of entries that poll the engines of a zone. */
  keeperCount(zone: string): number;
  /** Tokens of this entry's requests in flight at a target. */
  ownTokens(id: string): number;
  /** Tokens of the other entries' requests in flight at a target; undefined if unknown. */
  otherTokens?(id: string): number | undefined;
  /** Called with the layers that a target reports to hold. */
  onHeldLayers(target: ServingTarget, held: HeldRange | undefined): void;
}

export interface LoadMonitor {
  /** Estimated tokens of all entries' requests in flight at a target. */
  tokensAt(id: string): number;
  /** Factor by which a target is slower than normal; 1 when healthy or unknown. */
  slowdownOf(id: string): number;
  /** Whether the target may refuse requests for lack of KV memory; true before its first report. */
  mayBeFull(id: string): boolean;
  /** Whether several polls in a row had no answer, or the target was marked unreachable. */
  isDead(id: string): boolean;
  /** Polls a target at the next tick, since a request failed there. */
  pollSoon(id: string): void;
  /** Marks a target dead because it accepts no connection. */
  markUnreachable(id: string): void;
  close(): void;
}

/** Interval between polls of one target in milliseconds. */
const pollIntervalMs = 2000;
/** Share of the requests that a target with a rate limit takes which all polls may use together. */
const maxPollShare = 0.1;
/** Longest interval between polls of a target with a rate limit, in milliseconds. */
const maxPollIntervalMs = 30_000;
const millisecondsPerSecond = 1000;
/** Delay before the next poll after one without an answer, in milliseconds. */
const retryIntervalMs = 150;
/** Interval between polls of a dead target in milliseconds. */
const deadPollIntervalMs = 1000;
/** Timeout of a poll in milliseconds. */
const reportTimeoutMs = 400;
/** Polls in a row without an answer after which a target counts as dead. */
const maxMisses = 3;
/** Fraction of KV memory in use from which a target may refuse requests for lack of memory. */
const fullKvShare = 0.6;
/** Interval in milliseconds at which the monitor looks for polls that are due. */
const tickMs = 100;

interface TargetLoad {
  dueAt: number;
  isPolling: boolean;
  misses: number;
  slowdown: number;
  /** Fraction of the KV memory in use at the last report. */
  kvUsage: number;
  /** Tokens of all requests at the last report; undefined before the first. */
  reportedTokens: number | undefined;
  /** Tokens of this entry's requests in flight when that report was requested. */
  ownAtReport: number;
}

export function createLoadMonitor(deps: LoadMonitorDeps): LoadMonitor {
  const { clock, log, ownTokens } = deps;
  const loads = new Map<string, TargetLoad>();
  let cancel = () => {};
  let isClosed = false;

  function loadOf(id: string): TargetLoad {
    const found = loads.get(id);
    if (found) return found;
    const created: TargetLoad = {
      dueAt: 0,
      isPolling: false,
      misses: 0,
      slowdown: 1,
      kvUsage: 0,
      reportedTokens: undefined,
      ownAtReport: 0,
    };
    loads.set(id, created);
    return created;
  }

  /** Interval between this entry's polls of a target, which all entries of its zone poll too. */
  function pollIntervalOf(target: ServingTarget): number {
    const limitPerS = deps.rateLimits.limitOf(target);
    if (limitPerS === undefined) return pollIntervalMs;
    const limitedMs = (deps.keeperCount(target.zone) * millisecondsPerSecond)
      / (maxPollShare * limitPerS);
    return Math.min(maxPollIntervalMs, Math.max(pollIntervalMs, limitedMs));
  }

  async function poll(target: ServingTarget, state: TargetLoad) {
    const ownAtReport = ownTokens(target.id);
    const {
      slowdown, kvUsed, kvTotal, held,
    } = await requestReport(deps, target, reportTimeoutMs);
    deps.onHeldLayers(target, held);
    if (slowdown !== state.slowdown) {
      log.info({ target: target.id, slowdown }, 'target changed its pace');
    }
    if (state.misses >= maxMisses) log.info({ target: target.id }, 'target answers again');
    Object.assign(state, {
      misses: 0,
      slowdown,
      ownAtReport,
      kvUsage: kvTotal > 0 ? kvUsed / kvTotal : 0,
      reportedTokens: held ? kvUsed / (held.hi - held.lo) : 0,
      dueAt: clock.now() + pollIntervalOf(target),
    });
  }

  function recordMiss(target: ServingTarget, state: TargetLoad, err: unknown) {
    if (isHeldBack(err)) {
      Object.assign(state, { dueAt: clock.now() + pollIntervalOf(target) });
      return;
    }
    const misses = state.misses + 1;
    const waitMs = misses < maxMisses ? retryIntervalMs : deadPollIntervalMs;
    Object.assign(state, { misses, dueAt: clock.now() + waitMs });
    if (misses !== maxMisses) return;
    log.warn({ target: target.id, ...errorFields(err) }, 'target is dead');
  }

  function tick() {
    if (isClosed) return;
    cancel = clock.after(tickMs, tick);
    const engines = deps.engines();
    const ids = new Set(engines.map(({ id }) => id));
    [...loads.keys()].filter((id) => !ids.has(id)).forEach((id) => loads.delete(id));
    engines.forEach((target) => {
      const state = loadOf(target.id);
      if (state.isPolling || state.dueAt > clock.now() || deps.pauses.isPaused(target)) return;
      state.isPolling = true;
      poll(target, state).catch((err) => recordMiss(target, state, err))
        .finally(() => {
          state.isPolling = false;
        });
    });
  }
  tick();

  return {
    tokensAt(id) {
      const state = loads.get(id);
      const own = ownTokens(id);
      const others = deps.otherTokens?.(id) ?? 0;
      if (state?.reportedTokens === undefined) return own + others;
      // The report may be older than the others' latest requests.
      return Math.max(
        correctedActive(state.reportedTokens, state.ownAtReport, own),
        own + others,
      );
    },
    slowdownOf: (id) => Math.max(1, loads.get(id)?.slowdown ?? 1),
    mayBeFull(id) {
      const state = loads.get(id);
      return state?.reportedTokens === undefined || state.kvUsage >= fullKvShare;
    },
    isDead: (id) => (loads.get(id)?.misses ?? 0) >= maxMisses,
    pollSoon(id) {
      const state = loads.get(id);
      if (state) state.dueAt = 0;
    },
    markUnreachable(id) {
      const state = loads.get(id);
      if (!state || state.misses >= maxMisses) return;
      log.warn({ target: id }, 'target is dead, as it takes no connection');
      Object.assign(state, { misses: maxMisses, dueAt: clock.now() + deadPollIntervalMs });
    },
    close() {
      isClosed = true;
      cancel();
    },
  };
}
