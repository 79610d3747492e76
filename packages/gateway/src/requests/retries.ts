/** Chooses where a request is retried or resumed, within its time and the retry budget. */
import {
  mayRepeat, type AttemptEnd, type RetryState, type RetryWindow,
} from '@verbenashunt/core';
import type { Choice, Selector } from '../routing/selector.js';
import type { ResumeQueue } from './resume-queue.js';
import type { RequestSpec } from './spec.js';

export interface RetriesDeps {
  selector: Selector;
  /** Retry budget of the request's service. */
  retries: RetryWindow;
  /** Queue of the service's partly delivered streams that wait for a new chain. */
  resumeQueue: ResumeQueue;
}

/** The request that is retried. */
export interface RetriedRequest {
  spec: RequestSpec;
  /** Ids of targets that must not be chosen. */
  avoid: Set<string>;
  state(): RetryState;
  timeLeftMs(): number;
  /** Time on the entry's clock from which the pause in the stream is too long. */
  pauseLimitAt(): number;
  /** Ends the request if it must not run again because it crashes targets; whether it has to. */
  endIfPoison(): boolean;
  resume(choice: Choice): void;
}

export interface Retries {
  /** Whether the next attempt is paid for or the retry budget allows it. */
  canPay(): boolean;
  /** Takes a retry from the budget unless one is left over; false if there is none. */
  pay(): boolean;
  /** The retry that was paid for has been sent; the next one is taken from the budget again. */
  sent(): void;
  /** Whether there is time for another attempt. */
  hasTime(): boolean;
  /** Chooses where to retry; undefined when no time, target or retry budget is left. */
  choose(attemptEnd: AttemptEnd): Choice | undefined;
  /**
   * Reserves the retry in which another run can show that the stream of the current attempt is
   * whole; false if there is none. Not while retries are scarce, as those of streams that are known
   * to be broken off come first.
   */
  reserve(): boolean;
  /** Gives a retry back that was reserved and is not needed. */
  release(): void;
  /** Whether a new attempt could continue the stream on a chain within one zone. */
  canResume(without: ReadonlySet<string>): boolean;
  /**
   * Waits for a turn to resume; targets that were full may have capacity by then. The returned
   * function ends the wait.
   */
  resumeLater(): () => void;
}

/** Shortest remaining time in which another attempt is made, in milliseconds. */
const minAttemptTimeMs = 20;

export function createRetries(request: RetriedRequest, deps: RetriesDeps): Retries {
  const { spec, avoid } = request;
  const { selector, retries, resumeQueue } = deps;
  /** Whether the next attempt was taken from the retry budget and has not been sent yet. */
  let isPaid = false;
  /** Whether a retry of the budget is kept back for the end of the stream. */
  let isReserved = false;

  const hasTime = () => request.timeLeftMs() >= minAttemptTimeMs;
  const isDelivered = () => request.state().delivered;
  const isLastAttempt = () => request.state().ran + 1 >= spec.maxAttempts;

  function release() {
    if (isReserved) retries.release();
    isReserved = false;
  }

  function pay(): boolean {
    release();
    isPaid ||= retries.withdraw(isDelivered());
    return isPaid;
  }

  /** Chooses among all targets again if none is left that has not failed. */
  function chooseAny(): Choice | undefined {
    const choice = selector.choose(spec, avoid);
    if (choice) return choice;
    avoid.clear();
    return selector.choose(spec, avoid);
  }

  return {
    canPay: () => isPaid || retries.canWithdraw(isDelivered()),
    pay,
    sent() {
      isPaid = false;
    },
    hasTime,
    choose(attemptEnd) {
      const next = hasTime() ? selector.choose(spec, avoid) : undefined;
      // After `unsent` no target received the request, so the retry adds no load and is free.
      return next && (attemptEnd === 'unsent' || pay()) ? next : undefined;
    },
    reserve() {
      isReserved ||= mayRepeat(spec) && !isLastAttempt() && retries.reserve();
      return isReserved;
    },
    release,
    canResume(without) {
      if (!mayRepeat(spec) || isLastAttempt() || !hasTime()) return false;
      const other = selector.choose(spec, without);
      return other !== undefined && selector.isInSingleZone(other)
        && selector.hasFreeKvMemory(spec, other)
        && (isReserved || retries.canWithdraw(isDelivered()));
    },
    resumeLater() {
      let leave = () => {};
      function wait() {
        leave = resumeQueue.wait(() => {
          if (request.endIfPoison()) return;
          const next = chooseAny();
          if (next && pay()) {
            request.resume(next);
            return;
          }
          resumeQueue.refused();
          wait();
        }, { priority: spec.priority, pauseLimitAt: request.pauseLimitAt() });
      }
      wait();
      return () => leave();
    },
  };
}
