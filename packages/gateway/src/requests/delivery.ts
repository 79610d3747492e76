/** Passes a request's answer on to its caller, and logs how the request ended. */
import {
  createEventOrder, createRefusal, staggeredRetryAfterMs,
  type Clock, type RefusalCode, type StreamEvent,
} from '@verbenashunt/core';
import type { RequestMetrics } from '../metrics.js';
import type { Choice, Selector } from '../routing/selector.js';
import type { RequestLog } from './request-log.js';
import { queueAccountOf, queueFieldsOf, type StartQueue } from './start-queue.js';
import { createStreamTiming } from './stream-timing.js';
import type {
  AnswerSink, AnswerStart, AnswerWriter, RequestSpec, WholeAnswer,
} from './spec.js';

export interface DeliveryDeps extends RequestMetrics {
  clock: Clock;
  random: () => number;
  log: RequestLog;
  selector: Pick<Selector, 'allClosedMs'>;
  startQueue: Pick<StartQueue, 'size' | 'predictWaitMs'>;
  /** Retry delay in milliseconds of a caller that is refused as the entry stops. */
  stoppingRetryMs(): number;
}

/** What served the request: the targets of the last attempt, and the number of attempts. */
export interface Served {
  choice: Choice;
  attempts: number;
}

export interface Delivery {
  /** Whether the caller has received a part of the answer. */
  readonly hasStarted: boolean;
  /** Id of the last event that the caller has received; undefined if there is none. */
  readonly lastEventId: number | undefined;
  /**
   * Sends an event of the stream. Returns `repeated` for one that the caller already has, and `gap`
   * for one that does not follow the last; neither is sent.
   */
  sendEvent(next: StreamEvent, start: AnswerStart): 'sent' | 'repeated' | 'gap';
  complete(start: AnswerStart, served: Served): void;
  sendWhole(answer: WholeAnswer, served: Served): void;
  /** Passes on the error answer of a target. */
  relayFailure(answer: WholeAnswer, served: Served): void;
  /** Closes the caller's connection, so that the answer does not look complete. */
  cutOff(reason: string): void;
  refuse(code: RefusalCode, ran: 'no' | 'unknown', reason: string, attempts: number): void;
}

export function createDelivery(
  spec: RequestSpec,
  sink: AnswerSink,
  deps: DeliveryDeps,
): Delivery {
  const { clock, log } = deps;
  const { id } = spec.caller;
  const eventOrder = createEventOrder(spec.caller.lastEventId);
  const timing = createStreamTiming(clock, spec.arrivedAt);
  let writer: AnswerWriter | undefined;

  const retryMsWhenBusy = () => staggeredRetryAfterMs({
    waitMs: Math.max(
      deps.selector.allClosedMs(spec.service.name),
      deps.startQueue.predictWaitMs(queueAccountOf(spec)),
    ),
    priority: spec.priority,
    priorities: spec.priorities,
    share: deps.random(),
  });

  return {
    get hasStarted() {
      return writer !== undefined;
    },
    get lastEventId() {
      return eventOrder.last;
    },
    sendEvent(next, start) {
      const verdict = eventOrder.accept(next);
      if (verdict === 'repeated' || verdict === 'gap') return verdict;
      const firstMs = timing.event();
      if (firstMs !== undefined) deps.firstByteSent(firstMs);
      writer ??= sink.open(start);
      writer.write(next.bytes.toString('latin1'));
      return 'sent';
    },
    complete(start, { choice, attempts }) {
      writer ??= sink.open(start);
      log.info({
        req: id,
        version: spec.version,
        target: choice.target.id,
        stages: choice.parts.length,
        zones: new Set(choice.parts.map(({ zone }) => zone)).size,
        attempts,
        isFramed: start.isFramed,
        ...timing.summary(),
        events: eventOrder.last,
      }, 'stream completed');
      writer.end('');
    },
    sendWhole(answer, { choice, attempts }) {
      const ms = clock.now() - spec.arrivedAt;
      deps.firstByteSent(ms);
      log.info({
        req: id,
        version: spec.version,
        target: choice.target.id,
        status: answer.status,
        isFramed: answer.isFramed,
        attempts,
        ms: Math.round(ms),
      }, 'request answered');
      sink.sendWhole(answer);
    },
    relayFailure(answer, { choice, attempts }) {
      const { status } = answer;
      log.info({
        req: id, version: spec.version, target: choice.target.id, status, attempts,
      }, 'failure passed on');
      sink.sendWhole(answer);
    },
    cutOff(reason) {
      log.info({ req: id, reason, last: eventOrder.last }, 'answer cut off');
      sink.cutOff();
    },
    refuse(code, ran, reason, attempts) {
      log.info({
        req: id,
        code,
        ran,
        reason,
        attempts,
        route: spec.route.name,
        version: spec.version,
        ...queueFieldsOf(spec, deps.startQueue),
      }, 'request refused');
      const retryAfterMs = code === 'stopping' ? deps.stoppingRetryMs() : retryMsWhenBusy();
      sink.refuse(createRefusal(code, { ran, ...(ran === 'no' ? { retryAfterMs } : {}) }));
    },
  };
}
