/**
 * Watches streams for silence. The first target of a silent stream is asked for a report of which
 * targets its requests wait for, one report for all streams sent to it. A target that repeatedly
 * gives no report counts as lost.
 */
import type { Logger } from 'pino';
import {
  errorFields, isHeldBack, TargetError,
  type CancelTimer, type Clock, type ServingTarget, type TargetPauses,
} from '@verbenashunt/core';
import { requestReport, type ReportDeps } from '../routing/report.js';

export interface WatchedStream {
  requestId: string;
  target: ServingTarget;
  /** Returns the time of its last event, or since when one is expected. */
  quietSince(): number;
  /** Silence after which its first target is asked for a report, in milliseconds. */
  maxQuietMs: number;
  /** Called when it waits for the target at an address. */
  stalledBy(address: string): void;
  /** Called with the length of its silence when its first target reports no stall for it. */
  silentFor(ms: number): void;
  /** Called when its first target no longer gives reports. */
  lost(): void;
}

export interface StallWatchDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
  pauses: TargetPauses;
}

export interface StallWatch {
  /** Returns a function that stops watching the stream. */
  watch(stream: WatchedStream): () => void;
  close(): void;
}

/** Interval between checks of all streams, in milliseconds. */
const checkIntervalMs = 50;
/**
 * Shortest interval between report requests to one target in milliseconds, about half the time by
 * which its reports lag behind.
 */
const askIntervalMs = 120;
/** Time limit of a report request in milliseconds. */
const reportTimeoutMs = 350;
/** Consecutive missed reports after which a target counts as lost. */
const maxMisses = 2;

interface AskState {
  askedAt: number;
  /** Whether a report request is in progress. */
  isPending: boolean;
  /** Consecutive missed reports. */
  misses: number;
}

export function createStallWatch(deps: StallWatchDeps): StallWatch {
  const { clock, log } = deps;
  const streams = new Set<WatchedStream>();
  const askStates = new Map<string, AskState>();
  /** Undefined while no check is due, as there are no streams. */
  let cancel: CancelTimer | undefined;
  let isClosed = false;

  const streamsAt = (id: string) => [...streams].filter(({ target }) => target.id === id);
  const quietMsOf = ({ quietSince }: WatchedStream) => clock.now() - quietSince();
  const isQuiet = (stream: WatchedStream) => quietMsOf(stream) > stream.maxQuietMs;

  async function askTarget(target: ServingTarget, state: AskState) {
    const { stalled } = await requestReport(deps, target, reportTimeoutMs);
    Object.assign(state, { misses: 0 });
    const culprits = new Map(stalled.map(({ requestId, address }) => [requestId, address]));
    if (culprits.size > 0) {
      log.info({ target: target.id, stalled: culprits.size, by: [...new Set(culprits.values())] }, 'streams stalled');
    }
    streamsAt(target.id).filter(isQuiet).forEach((stream) => {
      const address = culprits.get(stream.requestId);
      if (address !== undefined) stream.stalledBy(address);
      else stream.silentFor(quietMsOf(stream));
    });
  }

  function recordMissedReport(target: ServingTarget, state: AskState, err: unknown) {
    if (isHeldBack(err)) return;
    // Any answer, even an invalid report, shows that the target is alive.
    const misses = err instanceof TargetError ? state.misses + 1 : 0;
    log.info({
      target: target.id, misses, ...errorFields(err),
    }, 'first target of a silent stream gave no report');
    Object.assign(state, { misses });
    if (misses >= maxMisses) streamsAt(target.id).filter(isQuiet).forEach(({ lost }) => lost());
  }

  function askIfDue(target: ServingTarget) {
    const now = clock.now();
    const state = askStates.get(target.id) ?? { askedAt: -Infinity, isPending: false, misses: 0 };
    if (state.isPending || now - state.askedAt < askIntervalMs) return;
    Object.assign(state, { askedAt: now, isPending: true });
    askStates.set(target.id, state);
    askTarget(target, state).catch((err) => recordMissedReport(target, state, err))
      .finally(() => Object.assign(state, { isPending: false }));
  }

  function checkAll() {
    cancel = streams.size > 0 ? clock.after(checkIntervalMs, checkAll) : undefined;
    const quiet = new Map([...streams].filter(isQuiet).map(({ target }) => [target.id, target]));
    [...quiet.values()].filter((target) => !deps.pauses.isPaused(target)).forEach(askIfDue);
    [...askStates.keys()].filter((id) => !quiet.has(id)).forEach((id) => askStates.delete(id));
  }

  return {
    watch(stream) {
      streams.add(stream);
      if (!isClosed) cancel ??= clock.after(checkIntervalMs, checkAll);
      return () => streams.delete(stream);
    },
    close() {
      isClosed = true;
      cancel?.();
      streams.clear();
    },
  };
}
