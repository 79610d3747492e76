/** Sends one attempt of a request to a target and classifies the outcome. */
import type { IncomingHttpHeaders } from 'node:http';
import {
  createEventSplitter, isComment, isEventText, isHeldBack, type AttemptEnd, type StreamEvent,
} from '@verbenashunt/core';
import type { Exchange } from '@verbenashunt/wire';
import type { AttemptRequest, TargetProtocol } from '../ports.js';
import type { TargetExchanger } from '../targets/target-exchanger.js';
import type { AnswerStart, WholeAnswer } from './spec.js';

export interface AttemptDeps {
  exchanger: Pick<TargetExchanger, 'to'>;
  protocol: TargetProtocol;
}

export interface AttemptOptions {
  /** Whether the request asks for an event stream. */
  isStream: boolean;
  /** Whether the caller has received a part of the answer, which only a stream can continue. */
  isContinuation: boolean;
  /** Whether to open a new connection, on which no answer to an earlier request can arrive. */
  dedicatedConnection: boolean;
}

export interface AttemptFailure {
  /** How the attempt ended. */
  end: AttemptEnd;
  /** Whether the connection was lost before the answer was complete. */
  isConnectionLost: boolean;
  /** Whether nothing was sent as the target wants no requests now. */
  isHeldBack: boolean;
  /** Address of the target at fault, if the answer names one. */
  blamed: string | undefined;
  /** Error answer of the target, if it arrived completely. */
  answer: WholeAnswer | undefined;
  /** Cause, for the log. */
  reason: string;
}

export interface AttemptHandler {
  /** Called with a complete answer that is not an event stream. */
  answered(answer: WholeAnswer): void;
  /** Called with each complete event of a stream and the start of its answer. */
  event(event: StreamEvent, start: AnswerStart): void;
  /** Called when a stream with a length or chunked encoding has ended after a complete event. */
  completed(start: AnswerStart): void;
  /**
   * Called when the connection of a stream without either has ended in order after a complete
   * event, or without any event. The stream may have been broken off.
   */
  endedUnframed(start: AnswerStart): void;
  /** Called when the attempt ended without a usable answer. */
  failed(failure: AttemptFailure): void;
}

export interface Attempt {
  /** Whether any part of the request may have reached the target. */
  readonly isSent: boolean;
  abort(): void;
}

const statusOk = 200;
const minServerError = 500;
/**
 * Statuses that tell a caller that its request did not run. A target states this explicitly as well
 * (`AnswerHead.notRun`); without that statement, whether the request ran is unknown.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Size limit of an answer that is not a stream; no route has larger ones. */
const maxAnswerBytes = 16 * 1024 * 1024;
/** Size limit of an event of a stream, which holds a few tokens. */
const maxEventBytes = 256 * 1024;

const streamType = 'text/event-stream';

/** An answer that does not state its type is taken for the stream that was asked for. */
const mayBeStream = (headers: IncomingHttpHeaders) => (headers['content-type'] ?? streamType)
  .toLowerCase().startsWith(streamType);

/** A failure of which nothing else is known. */
export const failureOf = (end: AttemptEnd, reason: string): AttemptFailure => ({
  end,
  reason,
  isConnectionLost: false,
  isHeldBack: false,
  blamed: undefined,
  answer: undefined,
});

export function startAttempt(
  req: AttemptRequest,
  options: AttemptOptions,
  handler: AttemptHandler,
  { exchanger, protocol }: AttemptDeps,
): Attempt {
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let size = 0;
  let start: AnswerStart | undefined;
  let isOver = false;
  let exchange: Exchange | undefined;
  /** Whether an event with an id has come, which shows that a run goes on with the stream. */
  let isNumbered = false;

  const isEventStream = () => options.isStream && start?.status === statusOk
    && mayBeStream(start.headers);

  function fail(attemptEnd: AttemptEnd, reason: string, details: Partial<AttemptFailure> = {}) {
    if (isOver) return;
    isOver = true;
    exchange?.abort();
    handler.failed({ ...failureOf(attemptEnd, reason), ...details });
  }

  function endWholeAnswer() {
    const answer = { ...start!, body: Buffer.concat(chunks) };
    if (notRunStatuses.has(answer.status)) {
      fail('unknown', `status ${answer.status} without a word on whether it ran`);
    } else if (answer.status >= minServerError) fail('failed', `status ${answer.status}`, { answer });
    else if (options.isContinuation) fail('broken', `status ${answer.status} instead of the rest of a stream`);
    else {
      isOver = true;
      handler.answered(answer);
    }
  }

  /** Passes on an event, unless it is none or does not belong to the stream that was begun. */
  function passOn(event: StreamEvent) {
    isNumbered ||= event.id !== undefined;
    const isForeign = options.isContinuation && !isNumbered && !isComment(event);
    if (isForeign) fail('broken', 'an event without an id instead of the rest of a stream');
    else if (event.id === undefined && !isEventText(event)) fail('broken', 'the stream holds bytes that are no event');
    else handler.event(event, start!);
  }

  function endEventStream() {
    if (splitter.pendingBytes > 0) {
      fail('broken', 'the stream ended inside an event', { isConnectionLost: true });
      return;
    }
    isOver = true;
    if (start!.isFramed) handler.completed(start!);
    else handler.endedUnframed(start!);
  }

  exchange = exchanger.to(req.target).start(req.target.address, protocol.encode(req), {
    head(status, headers, isFramed) {
      const { requestId, notRun, blamed } = protocol.head(status, headers);
      start = { status, headers, isFramed };
      if (requestId !== undefined && requestId !== req.caller.id) {
        fail('unknown', 'the answer carries the id of another request');
      } else if (notRun) fail('not_run', `not run, status ${status}`, { blamed });
      else if (requestId === undefined) fail('unknown', 'the answer carries no request id');
    },
    data(chunk) {
      if (isOver) return;
      if (isEventStream()) {
        splitter.push(chunk).forEach((event) => {
          if (!isOver) passOn(event);
        });
        if (splitter.pendingBytes > maxEventBytes) fail('broken', `an event is larger than ${maxEventBytes} bytes`);
        return;
      }
      size += chunk.length;
      chunks.push(chunk);
      if (size > maxAnswerBytes) fail('broken', `the answer is larger than ${maxAnswerBytes} bytes`);
    },
    end() {
      if (isOver) return;
      if (isEventStream()) endEventStream();
      else endWholeAnswer();
    },
    failed(err, isSent) {
      if (!isSent) fail('unsent', err.message, { isHeldBack: isHeldBack(err) });
      else fail(start ? 'broken' : 'unknown', err.message, { isConnectionLost: true });
    },
  }, { dedicatedConnection: options.dedicatedConnection });

  return {
    get isSent() {
      return exchange.isSent;
    },
    abort() {
      isOver = true;
      exchange.abort();
    },
  };
}
