/** One attempt of a request at a target: what came back, and what that says of the request. */
import type { IncomingHttpHeaders } from 'node:http';
import { createEventSplitter, type AttemptEnd, type StreamEvent } from '@verbenashunt/core';
import type { Exchange, Exchanger } from '@verbenashunt/wire';
import type { AttemptRequest, TargetProtocol } from '../ports.js';
import type { WholeAnswer } from './spec.js';

export interface AttemptDeps {
  exchanger: Exchanger;
  protocol: TargetProtocol;
}

export interface AttemptOptions {
  /** The answer is a stream of events. */
  isStream: boolean;
  /** A connection of its own, on which no answer of an earlier exchange can come. */
  fresh: boolean;
}

export interface AttemptFailure {
  end: AttemptEnd;
  /** The target ended the connection before the answer was whole. */
  isLost: boolean;
  /** Address of a target that is at fault, where the answer names one. */
  blamed: string | undefined;
  /** What the target answered, where it answered in whole. */
  answer: WholeAnswer | undefined;
  /** What is known of the cause. */
  reason: string;
}

export interface AttemptHandler {
  /** A whole answer that is no stream. */
  answered(answer: WholeAnswer): void;
  /** A whole event of a stream; the head comes with each. */
  event(event: StreamEvent, headers: IncomingHttpHeaders): void;
  /** The stream is complete. */
  completed(headers: IncomingHttpHeaders): void;
  failed(failure: AttemptFailure): void;
}

export interface Attempt {
  /** Whether the request may have reached the target. */
  readonly isSent: boolean;
  abort(): void;
}

const statusOk = 200;
const serverErrors = 500;
/**
 * Statuses by which a caller is promised that its request did not run. A target that means it says
 * so; without its word such an answer tells nothing.
 */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A whole answer that is larger is not passed on; no route of the system has such answers. */
const maxWholeBytes = 16 * 1024 * 1024;

export function startAttempt(
  req: AttemptRequest,
  options: AttemptOptions,
  handler: AttemptHandler,
  { exchanger, protocol }: AttemptDeps,
): Attempt {
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let size = 0;
  let head: { status: number; headers: IncomingHttpHeaders } | undefined;
  let isOver = false;
  let exchange: Exchange | undefined;

  const isEvents = () => options.isStream && head?.status === statusOk;

  function fail(end: AttemptEnd, reason: string, known: Partial<AttemptFailure> = {}) {
    if (isOver) return;
    isOver = true;
    exchange?.abort();
    handler.failed({
      end, reason, isLost: false, blamed: undefined, answer: undefined, ...known,
    });
  }

  function endWhole(isFramed: boolean) {
    const answer = { ...head!, body: Buffer.concat(chunks), isFramed };
    if (promisingStatuses.has(answer.status)) {
      fail('unknown', `status ${answer.status} without a word on whether it ran`);
    } else if (answer.status >= serverErrors) fail('failed', `status ${answer.status}`, { answer });
    else {
      isOver = true;
      handler.answered(answer);
    }
  }

  function endEvents(isFramed: boolean) {
    if (splitter.pendingBytes > 0 || !isFramed) {
      const reason = isFramed ? 'the stream ended inside an event' : 'the stream has no end of its own';
      fail('broken', reason, { isLost: true });
      return;
    }
    isOver = true;
    handler.completed(head!.headers);
  }

  exchange = exchanger.start(req.target.address, protocol.encode(req), {
    head(status, headers) {
      const { requestId, notRun, blamed } = protocol.head(status, headers);
      head = { status, headers };
      if (requestId !== undefined && requestId !== req.caller.id) {
        fail('unknown', 'the answer belongs to another request');
      } else if (notRun) fail('not_run', `not run, status ${status}`, { blamed });
      else if (requestId === undefined) fail('unknown', 'the answer names no request');
    },
    data(chunk) {
      if (isOver) return;
      if (isEvents()) {
        splitter.push(chunk).forEach((event) => {
          if (!isOver) handler.event(event, head!.headers);
        });
        return;
      }
      size += chunk.length;
      chunks.push(chunk);
      if (size > maxWholeBytes) fail('broken', `the answer is larger than ${maxWholeBytes} bytes`);
    },
    end(isFramed) {
      if (isOver) return;
      if (isEvents()) endEvents(isFramed);
      else endWhole(isFramed);
    },
    failed(err, sent) {
      if (!sent) fail('unsent', err.message);
      else fail(head ? 'broken' : 'unknown', err.message, { isLost: true });
    },
  }, { dedicatedConnection: options.fresh });

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
