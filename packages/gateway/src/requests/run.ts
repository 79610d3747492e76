/** Carries one request to its answer: attempts, retries, resumed streams, expiry. */
import type { IncomingHttpHeaders } from 'node:http';
import {
  afterAttempt, createEventOrder, createRefusal, mayRepeat, newLife, stepAfter,
  type AttemptEnd, type CancelTimer, type Clock, type LifeStep, type RefusalCode,
  type RetryWindow, type StreamEvent,
} from '@verbenashunt/core';
import { chooseOnTime } from '../routing/admission.js';
import type { Choice, Selector } from '../routing/selector.js';
import {
  startAttempt, type Attempt, type AttemptDeps, type AttemptFailure,
} from './attempt.js';
import type { StreamProgress, TargetProgress } from './progress.js';
import type { RequestLog } from './request-log.js';
import { createRerouter } from './reroute.js';
import type { ResumeQueue } from './resume-queue.js';
import type { StallWatch } from './stall-watch.js';
import { createStreamTiming } from './stream-timing.js';
import type {
  AnswerSink, AnswerWriter, RequestRun, RequestSpec, WholeAnswer,
} from './spec.js';

export interface RunDeps extends AttemptDeps {
  clock: Clock;
  random: () => number;
  log: RequestLog;
  selector: Selector;
  stalls: StallWatch;
  progress: TargetProgress;
  /** Repeats to the request's service. */
  retries: RetryWindow;
  /** Turns of the service's begun streams that look for a chain again. */
  resumes: ResumeQueue;
  /** The request is over, with its outcome. */
  closed(outcome: string): void;
  attemptFailed(end: AttemptEnd): void;
  /** The first byte of the answer goes to the caller, this long after the request. */
  answerBegun(ms: number): void;
}

/** Time that must be left for another attempt in milliseconds. */
const minTimeMs = 20;
/** Objectives that a call which may be repeated waits for one target. */
const tryObjectives = 3;
/** Least wait that a caller is told when targets are busy, in milliseconds. */
const busyRetryMs = 1000;
/** Time over which the return of refused callers is spread, in milliseconds. */
const busySpreadMs = 2000;

/** Silence between events, as a share of the longest pause that is on time, that is looked into. */
const quietShare = 0.9;
/** Silence before the first event, as a share of the objective, that is looked into. */
const firstQuietShare = 0.5;
/** Longest pauses on time after which a stream that is silent without a reason is resumed. */
const mutePauses = 5;
/** The same before the first event, in objectives; callers wait four of them or longer. */
const muteObjectives = 3;

export function startRun(spec: RequestSpec, sink: AnswerSink, deps: RunDeps): RequestRun {
  const { clock, log, selector } = deps;
  const order = createEventOrder(spec.caller.lastEventId);
  const avoid = new Set<string>();
  let life = newLife();
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

  function close(outcome: string) {
    isOver = true;
    cancelTry();
    cancelWatch();
    cancelExpiry();
    attempt?.abort();
    release();
    progress?.end();
    deps.closed(outcome);
  }

  function refuse(code: RefusalCode, ran: 'no' | 'unknown', reason: string) {
    const { id } = spec.caller;
    log.info({
      req: id,
      code,
      ran,
      reason,
      attempts: life.ran + life.missed,
      route: spec.route.name,
      version: spec.version,
    }, 'request refused');
    close(code);
    const retryAfterMs = Math.round(busyRetryMs + busySpreadMs * deps.random());
    sink.refuse(createRefusal(code, { ran, ...(ran === 'no' ? { retryAfterMs } : {}) }));
  }

  function finish(step: LifeStep, failure: AttemptFailure) {
    if (step.do === 'cut') {
      log.info({ req: spec.caller.id, reason: failure.reason, last: order.last }, 'answer cut off');
      close('cut');
      sink.cut();
    } else if (step.do === 'relay') {
      const { status } = failure.answer!;
      log.info({
        req: spec.caller.id, target: choice!.target.id, status, attempts: life.ran + life.missed,
      }, 'failure passed on');
      close('relayed');
      sink.whole(failure.answer!);
    } else if (step.do === 'refuse') {
      refuse(step.ran === 'no' ? 'overloaded' : 'interrupted', step.ran, failure.reason);
    }
  }

  /** Whether time, targets and budget are left for another attempt. */
  function takeRetry(end: AttemptEnd): boolean {
    if (timeLeftMs() < minTimeMs || !selector.choose(spec, avoid)) return false;
    // Nothing arrived at a target, so nothing is charged for the next arrival.
    return end === 'unsent' || deps.retries.withdraw(life.delivered);
  }

  /** Ends the request where it stands; `code` is for one that can't have run. */
  function giveUp(code: RefusalCode, reason: string) {
    if (isOver) return;
    if (writer) {
      log.info({ req: spec.caller.id, reason, last: order.last }, 'answer cut off');
      close('cut');
      sink.cut();
    } else if (life.ran === 0 && !attempt?.isSent) refuse(code, 'no', reason);
    else refuse('outcome_unknown', 'unknown', reason);
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure begins the next attempt */
  function failed(failure: AttemptFailure) {
    release();
    progress?.end();
    cancelTry();
    cancelWatch();
    attempt = undefined;
    const { end, reason, blamed } = failure;
    deps.attemptFailed(end);
    const culprit = blamed === undefined
      ? choice!.target.id
      : selector.idAt(spec.service, blamed);
    log.info({
      req: spec.caller.id, target: choice!.target.id, blamed, end, reason, last: order.last,
    }, 'attempt failed');
    if (culprit !== undefined) {
      avoid.add(culprit);
      const isBlamed = blamed !== undefined;
      if (end === 'unsent') selector.failed(culprit);
      else if (end === 'not_run' || isBlamed) selector.doubted(culprit, isBlamed);
      else selector.erred(culprit);
    }
    life = afterAttempt(life, end);
    if (canResumeLater(end)) {
      if (end === 'not_run') deps.resumes.refused();
      resumeLater();
      return;
    }
    const isWanted = stepAfter(spec, life, end, true).do === 'try';
    const step = stepAfter(spec, life, end, isWanted && takeRetry(end));
    if (step.do === 'try') begin();
    else finish(step, failure);
  }

  /** Whether a begun stream may still find a chain; its caller has what was made so far. */
  function canResumeLater(end: AttemptEnd): boolean {
    return life.delivered && timeLeftMs() > minTimeMs
      && stepAfter(spec, life, end, true).do === 'try';
  }

  /** Looks for a chain again at its turn; targets that had no room may have some by then. */
  function resumeLater() {
    cancelTry = deps.resumes.wait(() => {
      if (!selector.choose(spec, avoid)) avoid.clear();
      if (selector.choose(spec, avoid) && deps.retries.withdraw(true)) begin();
      else {
        deps.resumes.refused();
        resumeLater();
      }
    });
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function answered(answer: WholeAnswer) {
    choice!.parts.forEach(({ id }) => selector.health.succeeded(id));
    const ms = clock.now() - spec.arrivedAt;
    deps.answerBegun(ms);
    log.info({
      req: spec.caller.id,
      target: choice!.target.id,
      status: answer.status,
      attempts: life.ran + life.missed + 1,
      ms: Math.round(ms),
    }, 'request answered');
    close('answered');
    sink.whole(answer);
  }

  function completed(headers: IncomingHttpHeaders) {
    choice!.parts.forEach(({ id }) => selector.health.succeeded(id));
    writer ??= sink.open(200, headers);
    log.info({
      req: spec.caller.id,
      target: choice!.target.id,
      stages: choice!.parts.length,
      zones: new Set(choice!.parts.map(({ zone }) => zone)).size,
      attempts: life.ran + life.missed + 1,
      ...timing.summary(),
      events: order.last,
    }, 'stream completed');
    close('completed');
    writer.end('');
  }

  /** Gives up an attempt whose chain is broken. */
  function abandon(reason: string, blamed: string | undefined) {
    if (isOver || !attempt) return;
    attempt.abort();
    failed({
      end: 'unknown', reason, blamed, answer: undefined,
    });
  }

  /** Whether the stream could go on as a new attempt, on another chain inside one zone. */
  function canResume(without: ReadonlySet<string>): boolean {
    const isLast = life.ran + 1 >= spec.maxAttempts;
    if (!mayRepeat(spec) || isLast || timeLeftMs() < minTimeMs) return false;
    const other = selector.choose(spec, without);
    return other !== undefined && selector.isInZone(other)
      && selector.hasRoom(spec, other) && deps.retries.has(life.delivered);
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
      release = selector.hold(next, spec);
      heardAt = clock.now();
    },
  }, deps);

  /** Resumes a stream that its first target has dropped without a word. */
  function silentFor(ms: number) {
    const { maxPauseMs, objectiveMs } = spec.route;
    const limitMs = life.delivered ? mutePauses * maxPauseMs : muteObjectives * objectiveMs;
    const isDropped = progress?.isDropped(clock.now()) ?? false;
    if (ms < limitMs && !isDropped) return;
    if (!canResume(new Set([...avoid, choice!.target.id]))) return;
    abandon(isDropped ? 'silent while others began' : 'silent without a reason', undefined);
  }

  function event(next: StreamEvent, headers: IncomingHttpHeaders) {
    const verdict = order.accept(next);
    if (verdict === 'repeated') return;
    if (verdict === 'gap') {
      attempt?.abort();
      failed({
        end: 'broken', reason: `event ${next.id} follows ${order.last}`, blamed: undefined, answer: undefined,
      });
      return;
    }
    progress?.event(clock.now());
    const firstMs = timing.event();
    if (firstMs !== undefined) deps.answerBegun(firstMs);
    heardAt = clock.now();
    writer ??= sink.open(200, headers);
    life = { ...life, delivered: true };
    writer.write(next.bytes.toString('latin1'));
    rerouter.moveIfLeaving();
  }

  function watch() {
    if (spec.kind !== 'stream' || !spec.service.engine) return;
    const { objectiveMs, maxPauseMs } = spec.route;
    heardAt = clock.now();
    cancelWatch = deps.stalls.watch({
      requestId: spec.caller.id,
      target: choice!.target,
      quietSince: () => heardAt,
      maxQuietMs: life.delivered ? quietShare * maxPauseMs : firstQuietShare * objectiveMs,
      stalledBy: rerouter.stalledBy,
      silentFor,
      lost() {
        selector.failed(choice!.target.id);
        abandon('the first target gave no report', undefined);
      },
    });
  }

  /** Ends a try that takes too long for a call that may be repeated, where another is possible. */
  function boundTry() {
    if (spec.kind !== 'idempotent' || life.ran + 1 >= spec.maxAttempts) return;
    const tryMs = tryObjectives * spec.route.objectiveMs;
    if (tryMs <= 0 || timeLeftMs() < 2 * tryMs) return;
    cancelTry = clock.after(tryMs, () => {
      attempt?.abort();
      failed({
        end: 'unknown', reason: `no answer in ${tryMs} ms`, blamed: undefined, answer: undefined,
      });
    });
  }

  function begin() {
    choice = selector.choose(spec, avoid);
    if (!choice) {
      giveUp(spec.service.engine ? 'no_chain' : 'no_target', 'no target');
      return;
    }
    if (life.ran + life.missed === 0) choice = chooseOnTime(spec, choice, deps);
    if (!choice) {
      giveUp('overloaded', 'no chain is on time');
      return;
    }
    release = selector.hold(choice, spec);
    boundTry();
    watch();
    progress = spec.kind === 'stream'
      ? deps.progress.start(choice.target.id, clock.now())
      : undefined;
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
      fresh: spec.kind !== 'idempotent' || life.ran + life.missed > 0,
    }, {
      answered, event, completed, failed,
    }, deps);
  }

  cancelExpiry = clock.after(Math.max(0, timeLeftMs()), () => giveUp('overloaded', 'expired'));
  deps.retries.deposit();
  begin();

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
