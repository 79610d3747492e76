/** What a stopping entry still accepts and sends, and when refused callers should retry. */
import { createRefusal, type Clock, type Refusal } from '@verbenashunt/core';
import type { RequestSpec } from './spec.js';
import {
  isTooLate, isTooLateToSend, lastSendAt, stoppingRetryMs, type StopWindow,
} from './stop-window.js';
import type { StreamDurations } from './stream-durations.js';

export interface StoppingDeps {
  clock: Clock;
  random: () => number;
  durations: Pick<StreamDurations, 'expectedMs'>;
  /** Time in milliseconds from the stop signal until the process is killed. */
  graceMs(): number;
  /** Milliseconds until another entry serves, Infinity if unknown. */
  nextEntryMs(): number;
}

type RequestHead = Omit<RequestSpec, 'body'>;

export interface Stopping {
  readonly isStopping: boolean;
  /** Starts the stop; `onLastSend` is called when nothing long is sent any more. */
  start(onLastSend: () => void): StopWindow;
  /** Ends the acceptance of all requests. */
  close(): void;
  /** Returns a refusal if the entry is stopping and a request that arrives now would not end. */
  refusalOf(spec: RequestHead): Refusal | undefined;
  /** Whether the entry is stopping and an accepted request that is sent now would not end. */
  isTooLateToSend(spec: RequestHead): boolean;
  /** Retry delay in milliseconds of a caller that is refused as the entry stops. */
  retryMs(): number;
}

export function createStopping(deps: StoppingDeps): Stopping {
  const { clock, random, durations } = deps;
  let stopWindow: StopWindow | undefined;
  /** Whether the stop is past the point from which no request can be run. */
  let isClosing = false;
  let cancelLastSend = () => {};

  /** Without another entry, a stream that may last too long is better begun than refused. */
  const expectedMsOf = ({ route }: RequestHead) => (deps.nextEntryMs() <= 0
    ? durations.expectedMs(route.name)
    : 0);

  /** Calls back at a time on the clock; a timer may fire up to a millisecond before its time. */
  function callAt(time: number, callback: () => void) {
    const waitMs = time - clock.now();
    if (waitMs <= 0) callback();
    else cancelLastSend = clock.after(Math.ceil(waitMs), () => callAt(time, callback));
  }

  const applies = (rule: typeof isTooLate, spec: RequestHead) => stopWindow !== undefined
    && rule(spec, clock.now(), stopWindow, expectedMsOf(spec));

  const retryMs = () => stoppingRetryMs(deps.nextEntryMs(), deps.graceMs(), random());

  return {
    get isStopping() {
      return stopWindow !== undefined;
    },
    start(onLastSend) {
      stopWindow = { startedAt: clock.now(), graceMs: deps.graceMs() };
      callAt(lastSendAt(stopWindow), onLastSend);
      return stopWindow;
    },
    close() {
      isClosing = true;
      cancelLastSend();
    },
    refusalOf: (spec) => (isClosing || applies(isTooLate, spec)
      ? createRefusal('stopping', { retryAfterMs: retryMs() })
      : undefined),
    isTooLateToSend: (spec) => applies(isTooLateToSend, spec),
    retryMs,
  };
}
