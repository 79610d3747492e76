/**
 * Watches streams for silence. The first target of a silent one is asked which stage its requests
 * wait for, once for all streams that began there; one that can't tell is taken for lost.
 */
import type { Logger } from 'pino';
import { errorFields, type Clock, type ServingTarget } from '@verbenashunt/core';
import { requestReport, type ReportDeps } from '../routing/report.js';

export interface WatchedStream {
  requestId: string;
  target: ServingTarget;
  /** Time of its last event or of its start. */
  quietSince(): number;
  /** Silence after which it is looked into, in milliseconds. */
  maxQuietMs: number;
  /** It waits for the target at an address. */
  stalledBy(address: string): void;
  /** It has been silent for this time, and its first target tells no reason. */
  silentFor(ms: number): void;
  /** Its first target doesn't answer any more. */
  lost(): void;
}

export interface StallWatchDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
}

export interface StallWatch {
  /** Returns the function that ends the watch. */
  watch(stream: WatchedStream): () => void;
  close(): void;
}

/** Time between looks at the streams in milliseconds. */
const tickMs = 50;
/** Time between questions to one target in milliseconds, about half of the lag of its answers. */
const askIntervalMs = 120;
/** Time for a target to answer in milliseconds. */
const answerTimeoutMs = 350;
/** Questions in a row without an answer after which a target is taken for lost. */
const maxMisses = 2;

interface Asked {
  at: number;
  isOpen: boolean;
  misses: number;
}

export function createStallWatch(deps: StallWatchDeps): StallWatch {
  const { clock, log } = deps;
  const streams = new Set<WatchedStream>();
  const asked = new Map<string, Asked>();
  let cancel = () => {};
  let isClosed = false;

  const ofTarget = (id: string) => [...streams].filter(({ target }) => target.id === id);
  const quietMsOf = ({ quietSince }: WatchedStream) => clock.now() - quietSince();
  const isQuiet = (stream: WatchedStream) => quietMsOf(stream) > stream.maxQuietMs;

  async function ask(target: ServingTarget, state: Asked) {
    const { stalled } = await requestReport(deps, target, answerTimeoutMs);
    Object.assign(state, { misses: 0 });
    const culprits = new Map(stalled.map(({ requestId, address }) => [requestId, address]));
    if (culprits.size > 0) {
      log.info({ target: target.id, stalled: culprits.size, by: [...new Set(culprits.values())] }, 'streams stalled');
    }
    ofTarget(target.id).filter(isQuiet).forEach((stream) => {
      const address = culprits.get(stream.requestId);
      if (address !== undefined) stream.stalledBy(address);
      else stream.silentFor(quietMsOf(stream));
    });
  }

  function missed(target: ServingTarget, state: Asked, err: unknown) {
    const misses = state.misses + 1;
    log.info({
      target: target.id, misses, ...errorFields(err),
    }, 'silent target gave no report');
    Object.assign(state, { misses });
    if (misses >= maxMisses) ofTarget(target.id).filter(isQuiet).forEach(({ lost }) => lost());
  }

  function askOnce(target: ServingTarget) {
    const now = clock.now();
    const state = asked.get(target.id) ?? { at: -Infinity, isOpen: false, misses: 0 };
    if (state.isOpen || now - state.at < askIntervalMs) return;
    Object.assign(state, { at: now, isOpen: true });
    asked.set(target.id, state);
    ask(target, state).catch((err) => missed(target, state, err))
      .finally(() => Object.assign(state, { isOpen: false }));
  }

  function tick() {
    if (isClosed) return;
    cancel = clock.after(tickMs, tick);
    const quiet = new Map([...streams].filter(isQuiet).map(({ target }) => [target.id, target]));
    quiet.forEach(askOnce);
    [...asked.keys()].filter((id) => !quiet.has(id)).forEach((id) => asked.delete(id));
  }
  tick();

  return {
    watch(stream) {
      streams.add(stream);
      return () => streams.delete(stream);
    },
    close() {
      isClosed = true;
      cancel();
    },
  };
}
