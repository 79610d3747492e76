/**
 * Asks engines for their load and pace. An entry asks those that its own requests pass through and
 * those of its zone; the one that holds the lease asks all, and so finds the dead before their rows
 * lapse.
 */
import type { Logger } from 'pino';
import {
  correctedActive, errorFields, type Clock, type HeldRange, type ServingTarget,
} from '@verbenashunt/core';
import { requestReport, type ReportDeps } from './report.js';

export interface LoadMonitorDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
  /** Engines to ask at this time. */
  engines(): readonly ServingTarget[];
  /** Tokens of this entry's requests at a target. */
  ownTokens(id: string): number;
  /** A target said which layers it holds. */
  onHeldLayers(target: ServingTarget, held: HeldRange | undefined): void;
}

export interface LoadMonitor {
  /** Tokens of all entries' requests at a target, as far as is known. */
  tokensAt(id: string): number;
  /** Factor on a target's time; 1 when healthy or not known. */
  slowdownOf(id: string): number;
  /** Whether a refusal of the target may be for want of KV memory; so where nothing is known. */
  mayBeFull(id: string): boolean;
  /** The target gave no report several times in a row. */
  isDead(id: string): boolean;
  /** Asks a target soon, since a request found it failing. */
  pollSoon(id: string): void;
  /** The target takes no connection. */
  markUnreachable(id: string): void;
  close(): void;
}

/** Time between questions to one target in milliseconds. */
const pollIntervalMs = 2000;
/** Time to the next question after one without an answer in milliseconds. */
const retryIntervalMs = 150;
/** Time to the next question to a dead target in milliseconds. */
const deadPollIntervalMs = 1000;
/** Time for a target to answer in milliseconds. */
const reportTimeoutMs = 400;
/** Questions in a row without an answer after which a target is taken for dead. */
const maxMisses = 3;
/** Share of KV memory in use from which on a target may refuse a request for want of it. */
const fullKvShare = 0.6;
/** Time between looks at what is due in milliseconds. */
const tickMs = 100;

interface TargetLoad {
  dueAt: number;
  isPolling: boolean;
  misses: number;
  slowdown: number;
  /** Share of the KV memory in use at the last report. */
  kvUsage: number;
  /** Tokens of all requests at the last report; undefined before the first. */
  reportedTokens: number | undefined;
  /** Tokens of this entry's requests at that time. */
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
      dueAt: clock.now() + pollIntervalMs,
    });
  }

  function recordMiss(target: ServingTarget, state: TargetLoad, err: unknown) {
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
      if (state.isPolling || state.dueAt > clock.now()) return;
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
      return state?.reportedTokens === undefined
        ? own
        : correctedActive(state.reportedTokens, state.ownAtReport, own);
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
