/** Runs one request until it is answered: attempts, retries, resumed streams, deadline. */
import {
  afterAttempt, newRetryState, nextStep, targetPriorityOf,
  type AttemptEnd, type CancelTimer, type RefusalCode, type StreamEvent,
} from '@verbenashunt/core';
import type { Choice, Selector } from '../routing/selector.js';
import {
  failureOf, startAttempt, type Attempt, type AttemptDeps, type AttemptFailure,
} from './attempt.js';
import { attemptTimeoutMs } from './attempt-time.js';
import type { CrashWatch } from './crash-watch.js';
import { createDelivery, type DeliveryDeps } from './delivery.js';
import { createEnding } from './ending.js';
import { recordAttemptFailure } from './failed-attempt.js';
import type { StreamProgress } from './progress.js';
import { createRerouter } from './reroute.js';
import { createRetries, type RetriesDeps } from './retries.js';
import { resumeAfterMs } from './silence.js';
import { createStarter, type StarterDeps } from './start.js';
import type { StartQueue } from './start-queue.js';
import type { StreamDurations } from './stream-durations.js';
import { watchStream, type StreamWatchDeps } from './stream-watch.js';
import type {
  AnswerSink, AnswerStart, RequestRun, RequestSpec, WholeAnswer,
} from './spec.js';
import { judgeUnframedEnd, type UnframedEndDeps } from './unframed-end.js';

export interface RunDeps
  extends AttemptDeps, DeliveryDeps, StreamWatchDeps, RetriesDeps, StarterDeps, UnframedEndDeps {
  crashWatch: CrashWatch;
  selector: Selector;
  startQueue: StartQueue;
  durations: StreamDurations;
  /** Whether the entry is stopping and a request that is sent now would not end before it. */
  isTooLateToSend(spec: RequestSpec): boolean;
  /** Called when the request is sent to a target, which may run it. */
  requestSent(): void;
}

export function startRun(spec: RequestSpec, sink: AnswerSink, deps: RunDeps): RequestRun {
  const { clock, log, selector } = deps;
  const delivery = createDelivery(spec, sink, deps);
  const avoid = new Set<string>();
  let retryState = newRetryState();
  let attempts = 0;
  let attempt: Attempt | undefined;
  let choice: Choice | undefined;
  let releaseHold = () => {};
  /** Cancels the time limit of an attempt, or the wait for a turn to resume. */
  let cancelTimer: CancelTimer = () => {};
  let cancelExpiry: CancelTimer = () => {};
  let cancelWatch = () => {};
  let isOver = false;
  /** Time of the last event, or since when one is expected. */
  let quietSince = spec.arrivedAt;
  /** Whether another run has to show that the stream is whole if its end is not marked. */
  let mustBeSettled = true;
  /** Last event of the caller when a run ended without a sign of whether the stream was whole. */
  let earlierEndId: number | undefined;
  /** Progress of the current attempt; undefined for a call that is not a stream. */
  let progress: StreamProgress | undefined;

  /** When the current attempt was sent. */
  let sentAt = spec.arrivedAt;

  const timeLeftMs = () => spec.expiresAt - clock.now();
  /** Whether the caller has nothing yet and the entry stops before another attempt would end. */
  const isTooLate = () => !retryState.delivered && deps.isTooLateToSend(spec);
  const attemptProgress = () => ({ sentAt, hasBegun: progress?.hasStarted ?? false });

  function endAttempt() {
    cancelTimer();
    cancelWatch();
    attempt?.abort();
    releaseHold();
    progress?.end();
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure starts the next attempt */
  function close(outcome: string) {
    isOver = true;
    cancelExpiry();
    starter.leave();
    endAttempt();
    retries.release();
    deps.requestEnded(outcome);
    deps.startQueue.dispatch();
  }

  const ending = createEnding(spec, {
    delivery,
    crashWatch: deps.crashWatch,
    progress: () => ({
      retryState, attempts, choice, isSent: attempt?.isSent ?? false,
    }),
    close,
  });

  function giveUp(code: RefusalCode, reason: string) {
    if (!isOver) ending.giveUp(code, reason);
  }

  const retries = createRetries({
    spec,
    avoid,
    state: () => retryState,
    timeLeftMs,
    pauseLimitAt: () => quietSince + spec.route.maxPauseMs,
    endIfPoison: ending.endIfPoison,
    resume: (next) => runAttempt(next),
  }, deps);

  const starter = createStarter({
    spec,
    avoid,
    // Checked first, as a failed `pay` counts the retry as denied, which may have been done before.
    payRetry: () => retries.canPay() && retries.pay(),
    start: (next) => runAttempt(next),
    giveUp,
  }, deps);

  function retryOrFinish(failure: AttemptFailure) {
    if (isOver || ending.endIfPoison()) return;
    const { end: attemptEnd } = failure;
    // The answer of a target is of more use to its caller than the refusal of a late retry.
    const isAnswerLast = failure.answer !== undefined && isTooLate();
    const shouldRetry = !isAnswerLast && nextStep(spec, retryState, attemptEnd, true).do === 'try';
    // A stream that may be whole does not wait for retry budget.
    const canRetry = shouldRetry && (attemptEnd !== 'unsettled' || retries.pay());
    // The caller keeps the part that it has received, so the stream may wait for a new chain.
    if (canRetry && retryState.delivered && retries.hasTime()) {
      if (attemptEnd === 'not_run') deps.resumeQueue.refused();
      cancelTimer = retries.resumeLater();
      return;
    }
    const next = canRetry ? retries.choose(attemptEnd) : undefined;
    if (next) runAttempt(next);
    else if (!shouldRetry || !waitAgain(attemptEnd)) {
      ending.finish(nextStep(spec, retryState, attemptEnd, false), failure);
    }
  }

  /** Lets a stream wait that a target did not run; false if it has no time or retry left. */
  const waitAgain = (attemptEnd: AttemptEnd) => attemptEnd === 'not_run'
    && spec.kind === 'stream' && spec.service.engine !== undefined && starter.startAgain();

  function failed(failure: AttemptFailure) {
    endAttempt();
    attempt = undefined;
    if (failure.isHeldBack) {
      deps.attemptHeldBack();
      avoid.add(choice!.target.id);
      retryOrFinish(failure);
      return;
    }
    retries.sent();
    const { lastEventId } = delivery;
    const culprit = recordAttemptFailure({
      spec, choice: choice!, failure, lastEventId,
    }, deps);
    if (culprit !== undefined) avoid.add(culprit);
    retryState = afterAttempt(retryState, failure.end);
    if (failure.isConnectionLost) {
      deps.crashWatch.lost(spec, choice!.target, attemptProgress(), () => retryOrFinish(failure));
    } else retryOrFinish(failure);
  }

  /* eslint-enable @typescript-eslint/no-use-before-define */

  /** Records that the targets of the last attempt served the request. */
  function recordSuccess() {
    deps.crashWatch.answered(spec);
    choice!.parts.forEach(({ id }) => selector.health.recordSuccess(id));
  }

  function answered(answer: WholeAnswer) {
    recordSuccess();
    close('answered');
    delivery.sendWhole(answer, { choice: choice!, attempts });
  }

  function completed(start: AnswerStart) {
    recordSuccess();
    deps.durations.record(spec.route.name, clock.now() - spec.arrivedAt);
    close('completed');
    delivery.complete(start, { choice: choice!, attempts });
  }

  /** Ends the attempt as failed; `blamed` is the address of the target at fault. */
  function abandon(reason: string, blamed?: string, details: Partial<AttemptFailure> = {}) {
    if (isOver || !attempt) return;
    failed({ ...failureOf('unknown', reason), blamed, ...details });
  }

  async function endedUnframed(start: AnswerStart) {
    const ended = attempt;
    cancelWatch();
    const { lastEventId } = delivery;
    const verdict = await judgeUnframedEnd({
      spec,
      choice: choice!,
      attempts,
      hasEvents: retryState.delivered || lastEventId !== undefined,
      lastEventId,
      earlierEndId,
      mustBeSettled,
      silenceMs: clock.now() - quietSince,
      stalledAfterMs: resumeAfterMs(spec.route, true),
    }, deps);
    if (isOver || attempt !== ended) return;
    if (verdict === 'complete') completed(start);
    else if (verdict === 'unsettled') {
      earlierEndId = lastEventId;
      abandon('nothing shows whether the stream is whole', undefined, { end: 'unsettled' });
    } else {
      abandon('a target was lost, or no event came, before an unframed stream ended', undefined, {
        end: 'broken', isConnectionLost: true,
      });
    }
  }

  const rerouter = createRerouter({
    spec,
    avoid,
    choice: () => (attempt && !isOver ? choice : undefined),
    canResume: retries.canResume,
    attemptProgress,
    abandon,
    rerouted(next) {
      choice = next;
      releaseHold();
      releaseHold = selector.countInFlight(next, spec);
      quietSince = clock.now();
    },
  }, deps);

  /** Resumes a stream that its first target has presumably dropped. */
  function silentFor(ms: number) {
    const isDropped = progress?.isDropped(clock.now()) ?? false;
    if (ms < resumeAfterMs(spec.route, retryState.delivered) && !isDropped) return;
    if (!retries.canResume(new Set([...avoid, choice!.target.id]))) return;
    abandon(isDropped ? 'silent while later streams started' : 'silent without a reported stall');
  }

  function event(next: StreamEvent, start: AnswerStart) {
    const last = delivery.lastEventId;
    // Reserved before the answer begins, or streams that begin together all count on one retry.
    if (!delivery.hasStarted) mustBeSettled = start.isFramed || retries.reserve();
    const verdict = delivery.sendEvent(next, start);
    if (verdict === 'repeated') return;
    if (verdict === 'gap') {
      abandon(`gap in the stream: event ${next.id} follows ${last}`, undefined, { end: 'broken' });
      return;
    }
    quietSince = clock.now();
    if (progress?.hasStarted === false) {
      deps.crashWatch.begun(spec);
      deps.startQueue.recordFirstEvent(quietSince - sentAt);
    }
    progress?.event(quietSince);
    retryState = { ...retryState, delivered: true };
    rerouter.moveIfDraining();
  }

  /** Leaves a target that gives no reports; one that still accepts connections only for another. */
  async function leaveUnlessAlive() {
    const silent = attempt;
    const { target } = choice!;
    selector.recordFailure(target.id);
    const mayTryAgain = nextStep(spec, afterAttempt(retryState, 'unknown'), 'unknown', true).do === 'try';
    if (!mayTryAgain && await deps.isReachable(target)) return;
    if (attempt === silent) abandon('the first target gave no report');
  }

  function watchSilence() {
    if (spec.kind !== 'stream') return;
    quietSince = clock.now();
    progress = deps.progress.start(choice!.target.id, quietSince);
    if (!spec.service.engine) return;
    cancelWatch = watchStream({
      spec,
      choice: () => choice!,
      progress,
      isDelivered: retryState.delivered,
      quietSince: () => quietSince,
      stalledBy: rerouter.stalledBy,
      silentFor,
      lost: leaveUnlessAlive,
    }, deps);
  }

  /** Limits the time of an idempotent call's attempt if another attempt is possible after it. */
  function limitAttemptTime() {
    const ms = attemptTimeoutMs(spec, retryState.ran, timeLeftMs());
    if (ms !== undefined) cancelTimer = clock.after(ms, () => abandon(`no answer within ${ms} ms`));
  }

  function endIfTooLate(): boolean {
    if (!isTooLate()) return false;
    giveUp('stopping', 'it would not end before the entry');
    return true;
  }

  function runAttempt(next: Choice) {
    if (endIfTooLate()) return;
    deps.requestSent();
    choice = next;
    attempts += 1;
    sentAt = clock.now();
    releaseHold = selector.countInFlight(choice, spec);
    limitAttemptTime();
    watchSilence();
    attempt = startAttempt({
      caller: spec.caller,
      body: spec.body,
      organisation: spec.organisation,
      priority: targetPriorityOf(spec.priority, spec.priorities, retryState.delivered),
      target: choice.target,
      chain: choice.chain,
      timeLeftMs: timeLeftMs(),
      lastEventId: delivery.lastEventId,
    }, {
      isStream: spec.kind === 'stream',
      isContinuation: retryState.delivered,
      dedicatedConnection: spec.kind !== 'idempotent' || attempts > 1,
    }, {
      answered, event, completed, endedUnframed, failed,
    }, deps);
  }

  cancelExpiry = clock.after(Math.max(0, timeLeftMs()), () => giveUp('overloaded', 'expired'));
  deps.retries.deposit();
  starter.start();

  return {
    cancel() {
      if (isOver) return;
      log.info({
        req: spec.caller.id,
        target: choice?.target.id,
        last: delivery.lastEventId,
        ms: Math.round(clock.now() - spec.arrivedAt),
      }, 'caller left');
      close('left');
    },
    refuseIfTooLate() {
      if (!attempt) endIfTooLate();
    },
    refuseIfUnsent() {
      if (attempts === 0) giveUp('overloaded', 'other requests need its memory');
    },
    interrupt: () => giveUp('stopping', 'the entry stopped'),
  };
}
