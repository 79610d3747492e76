/** Carries one request to its answer: attempts, retries, resumed streams, expiry. */
import type { IncomingHttpHeaders } from 'node:http';
import {
  afterAttempt, createEventOrder, createRefusal, mayRepeat, newRetryState, nextStep,
  type AttemptEnd, type CancelTimer, type Clock, type RetryStep, type RefusalCode,
  type RetryWindow, type StreamEvent,
} from '@verbenashunt/core';
import type { RequestMetrics } from '../metrics.js';
import { chooseOnTime, jitteredRetryAfterMs } from '../routing/admission.js';
import { recordFailedAttempt } from '../routing/record-failure.js';
import type { Choice, Selector } from '../routing/selector.js';
import {
  startAttempt, type Attempt, type AttemptDeps, type AttemptFailure,
} from './attempt.js';
import type { CrashWatch } from './crash-watch.js';
import type { StreamProgress, TargetProgress } from './progress.js';
import type { RequestLog } from './request-log.js';
import { createRerouter } from './reroute.js';
import type { ResumeQueue } from './resume-queue.js';
import { muteLimitMs } from './silence.js';
import { watchStream, type StreamWatchDeps } from './stream-watch.js';
import { createStreamTiming } from './stream-timing.js';
import type {
  AnswerSink, AnswerWriter, RequestRun, RequestSpec, WholeAnswer,
} from './spec.js';

export interface RunDeps extends AttemptDeps, RequestMetrics, StreamWatchDeps {
  clock: Clock;
  random: () => number;
  log: RequestLog;
  selector: Selector;
  crashes: CrashWatch;
  progress: TargetProgress;
  /** Repeats to the request's service. */
  retries: RetryWindow;
  /** Turns of the service's begun streams that look for a chain again. */
  resumes: ResumeQueue;
}

/** Time that must be left for another attempt in milliseconds. */
const minTimeMs = 20;
/** Objectives that a call which may be repeated waits for one target. */
const tryObjectives = 3;

export function startRun(spec: RequestSpec, sink: AnswerSink, deps: RunDeps): RequestRun {
  const { clock, log, selector } = deps;
  const order = createEventOrder(spec.caller.lastEventId);
  const avoid = new Set<string>();
  let life = newRetryState();
  let attempts = 0;
  let attempt: Attempt | undefined;
  let choice: Choice | undefined;
  let writer: AnswerWriter | undefined;
  let release = () => {};
  let cancelTry: CancelTimer = () => {};
  let cancelExpiry: CancelTimer = () => {};
  let cancelWatch = () => {};
  let isOver = false;
  let heardAt = spec.arrivedAt;
  /** The attempt among the streams at its target; undefined for a call that is no stream. */
  let progress: StreamProgress | undefined;
  const timing = createStreamTiming(clock, spec.arrivedAt);

  const timeLeftMs = () => spec.expiresAt - clock.now();

  function endAttempt() {
    cancelTry();
    cancelWatch();
    attempt?.abort();
    release();
    progress?.end();
  }

  function close(outcome: string) {
    isOver = true;
    cancelExpiry();
    endAttempt();
    deps.requestEnded(outcome);
  }

  function cut(reason: string) {
    log.info({ req: spec.caller.id, reason, last: order.last }, 'answer cut off');
    close('cut');
    sink.cut();
  }

  function refuse(code: RefusalCode, ran: 'no' | 'unknown', reason: string) {
    const { id } = spec.caller;
    log.info({
      req: id,
      code,
      ran,
      reason,
      attempts,
      route: spec.route.name,
      version: spec.version,
    }, 'request refused');
    close(code);
    sink.refuse(createRefusal(code, {
      ran, ...(ran === 'no' ? { retryAfterMs: jitteredRetryAfterMs(deps.random()) } : {}),
    }));
  }

  function finish(step: RetryStep, failure: AttemptFailure) {
    if (step.do === 'cut') {
      cut(failure.reason);
    } else if (step.do === 'relay') {
      const { status } = failure.answer!;
      log.info({
        req: spec.caller.id, target: choice!.target.id, status, attempts,
      }, 'failure passed on');
      close('relayed');
      sink.whole(failure.answer!);
    } else if (step.do === 'refuse') {
      refuse(step.ran === 'no' ? 'overloaded' : 'interrupted', step.ran, failure.reason);
    }
  }

  /** Where another attempt goes; undefined when time, targets or budget are used up. */
  function takeRetry(end: AttemptEnd): Choice | undefined {
    const next = timeLeftMs() < minTimeMs ? undefined : selector.choose(spec, avoid);
    // Nothing arrived at a target, so nothing is charged for the next arrival.
    return next && (end === 'unsent' || deps.retries.withdraw(false)) ? next : undefined;
  }

  /** Ends the request where it stands; `code` is for one that can't have run. */
  function giveUp(code: RefusalCode, reason: string) {
    if (isOver) return;
    if (writer) cut(reason);
    else if (life.ran === 0 && !attempt?.isSent) refuse(code, 'no', reason);
    else refuse('outcome_unknown', 'unknown', reason);
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure begins the next attempt */
  function failed(failure: AttemptFailure) {
    endAttempt();
    attempt = undefined;
    const { end, reason, blamed } = failure;
    deps.attemptFailed(end);
    if (failure.isLost) deps.crashes.lost(spec, choice!.target);
    log.info({
      req: spec.caller.id, target: choice!.target.id, blamed, end, reason, last: order.last,
    }, 'attempt failed');
    const culprit = recordFailedAttempt(selector, {
      service: spec.service, sentTo: choice!.target.id, end, blamed,
    });
    if (culprit !== undefined) avoid.add(culprit);
    life = afterAttempt(life, end);
    const isWanted = nextStep(spec, life, end, true).do === 'try';
    // A begun stream may still find a chain; its caller has what was made so far.
    if (isWanted && life.delivered && timeLeftMs() > minTimeMs) {
      if (end === 'not_run') deps.resumes.refused();
      resumeLater();
      return;
    }
    const next = isWanted ? takeRetry(end) : undefined;
    if (next) begin(next);
    else finish(nextStep(spec, life, end, false), failure);
  }

  /** Looks for a chain again at its turn; targets that had no room may have some by then. */
  function resumeLater() {
    cancelTry = deps.resumes.wait(() => {
      let next = selector.choose(spec, avoid);
      if (!next) {
        avoid.clear();
        next = selector.choose(spec, avoid);
      }
      if (next && deps.retries.withdraw(true)) begin(next);
      else {
        deps.resumes.refused();
        resumeLater();
      }
    });
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function answered(answer: WholeAnswer) {
    deps.crashes.answered(spec);
    choice!.parts.forEach(({ id }) => selector.health.recordSuccess(id));
    const ms = clock.now() - spec.arrivedAt;
    deps.firstByteSent(ms);
    log.info({
      req: spec.caller.id,
      target: choice!.target.id,
      status: answer.status,
      attempts,
      ms: Math.round(ms),
    }, 'request answered');
    close('answered');
    sink.whole(answer);
  }

  function completed(headers: IncomingHttpHeaders) {
    deps.crashes.answered(spec);
    choice!.parts.forEach(({ id }) => selector.health.recordSuccess(id));
    writer ??= sink.open(200, headers);
    log.info({
      req: spec.caller.id,
      target: choice!.target.id,
      stages: choice!.parts.length,
      zones: new Set(choice!.parts.map(({ zone }) => zone)).size,
      attempts,
      ...timing.summary(),
      events: order.last,
    }, 'stream completed');
    close('completed');
    writer.end('');
  }

  /** Gives up an attempt that may go on elsewhere; `blamed` is the address of a target at fault. */
  function abandon(reason: string, blamed?: string, end: AttemptEnd = 'unknown') {
    if (isOver || !attempt) return;
    failed({
      end, reason, isLost: false, blamed, answer: undefined,
    });
  }

  /** Whether the stream could go on as a new attempt, on another chain inside one zone. */
  function canResume(without: ReadonlySet<string>): boolean {
    const isLast = life.ran + 1 >= spec.maxAttempts;
    if (!mayRepeat(spec) || isLast || timeLeftMs() < minTimeMs) return false;
    const other = selector.choose(spec, without);
    return other !== undefined && selector.isInSingleZone(other)
      && selector.hasFreeKvMemory(spec, other) && deps.retries.canWithdraw(life.delivered);
  }

  const rerouter = createRerouter({
    spec,
    avoid,
    choice: () => (attempt && !isOver ? choice : undefined),
    canResume,
    abandon,
    moved(next) {
      choice = next;
      release();
      release = selector.countInFlight(next, spec);
      heardAt = clock.now();
    },
  }, deps);

  /** Resumes a stream that its first target has dropped without a word. */
  function silentFor(ms: number) {
    const isDropped = progress?.isDropped(clock.now()) ?? false;
    if (ms < muteLimitMs(spec.route, life.delivered) && !isDropped) return;
    if (!canResume(new Set([...avoid, choice!.target.id]))) return;
    abandon(isDropped ? 'silent while others began' : 'silent without a reason');
  }

  function event(next: StreamEvent, headers: IncomingHttpHeaders) {
    const verdict = order.accept(next);
    if (verdict === 'repeated') return;
    if (verdict === 'gap') {
      abandon(`event ${next.id} follows ${order.last}`, undefined, 'broken');
      return;
    }
    progress?.event(clock.now());
    const firstMs = timing.event();
    if (firstMs !== undefined) deps.firstByteSent(firstMs);
    heardAt = clock.now();
    writer ??= sink.open(200, headers);
    life = { ...life, delivered: true };
    writer.write(next.bytes.toString('latin1'));
    rerouter.moveIfLeaving();
  }

  function watch() {
    if (spec.kind !== 'stream') return;
    heardAt = clock.now();
    progress = deps.progress.start(choice!.target.id, heardAt);
    if (!spec.service.engine) return;
    cancelWatch = watchStream({
      spec,
      choice: () => choice!,
      progress,
      isDelivered: life.delivered,
      quietSince: () => heardAt,
      stalledBy: rerouter.stalledBy,
      silentFor,
      lost() {
        selector.recordFailure(choice!.target.id);
        abandon('the first target gave no report');
      },
    }, deps);
  }

  /** Ends a try that takes too long for a call that may be repeated, where another is possible. */
  function boundTry() {
    if (spec.kind !== 'idempotent' || life.ran + 1 >= spec.maxAttempts) return;
    const tryMs = tryObjectives * spec.route.objectiveMs;
    if (tryMs <= 0 || timeLeftMs() < 2 * tryMs) return;
    cancelTry = clock.after(tryMs, () => abandon(`no answer in ${tryMs} ms`));
  }

  function begin(next: Choice) {
    choice = next;
    attempts += 1;
    release = selector.countInFlight(choice, spec);
    boundTry();
    watch();
    attempt = startAttempt({
      caller: spec.caller,
      body: spec.body,
      organisation: spec.organisation,
      target: choice.target,
      chain: choice.chain,
      timeLeftMs: timeLeftMs(),
      lastEventId: order.last,
    }, {
      isStream: spec.kind === 'stream',
      fresh: spec.kind !== 'idempotent' || attempts > 1,
    }, {
      answered, event, completed, failed,
    }, deps);
  }

  function beginFirst() {
    const first = selector.choose(spec, avoid);
    if (!first) {
      giveUp(spec.service.engine ? 'no_chain' : 'no_target', 'no target');
      return;
    }
    const onTime = chooseOnTime(spec, first, deps);
    if (onTime) begin(onTime);
    else giveUp('overloaded', 'no chain is on time');
  }

  cancelExpiry = clock.after(Math.max(0, timeLeftMs()), () => giveUp('overloaded', 'expired'));
  deps.retries.deposit();
  beginFirst();

  return {
    cancel() {
      if (isOver) return;
      log.info({
        req: spec.caller.id,
        target: choice?.target.id,
        last: order.last,
        ms: Math.round(clock.now() - spec.arrivedAt),
      }, 'caller left');
      close('left');
    },
    interrupt: () => giveUp('stopping', 'the entry stopped'),
  };
}
