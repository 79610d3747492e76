/** Types of a request and its answer that are shared within the gateway. */
import type { IncomingHttpHeaders } from 'node:http';
import type {
  Priority, RetryPolicy, Refusal, RequestSize, ServingRoute, ServingService,
} from '@verbenashunt/core';
import type { CallerRequest } from '../ports.js';

export interface RequestSpec extends RetryPolicy {
  caller: CallerRequest;
  body: Buffer | undefined;
  /** Version of the configuration under which the request was accepted. */
  version: number;
  route: ServingRoute;
  service: ServingService;
  organisation: string | undefined;
  priority: Priority;
  /** Priorities that requests to the service may have, from the highest to the lowest. */
  priorities: readonly Priority[];
  /** Expected size in tokens; used only for services with engines. */
  size: RequestSize;
  /** When the request arrived, on the entry's clock. */
  arrivedAt: number;
  /** Deadline on the entry's clock, set by the caller or the route's timeout, the earlier one. */
  expiresAt: number;
}

/** Status and headers of an answer. */
export interface AnswerStart {
  status: number;
  headers: IncomingHttpHeaders;
  /**
   * Whether its end is marked, by a length or chunked encoding. If not, only its sender knows
   * whether it is complete. A whole answer is then passed on without either; a stream has chunks
   * for its caller in any case.
   */
  isFramed: boolean;
}

/** A complete answer of a target. */
export interface WholeAnswer extends AnswerStart {
  body: Buffer;
}

/** Passes an answer on as it arrives; each character of a text is one byte (latin1). */
export interface AnswerWriter {
  write(text: string): void;
  end(text: string): void;
}

/**
 * Where a request's answer goes. A request ends with exactly one call: `sendWhole`, `refuse`,
 * `cutOff`, or `end` of the writer that `open` returned.
 */
export interface AnswerSink {
  sendWhole(answer: WholeAnswer): void;
  /** Starts a streamed answer. */
  open(start: AnswerStart): AnswerWriter;
  refuse(refusal: Refusal): void;
  /** Closes the caller's connection, so that the answer does not look complete. */
  cutOff(): void;
}

export interface RequestRun {
  /** Refuses the request if it waits to be sent and can no longer end before the entry does. */
  refuseIfTooLate(): void;
  /** Refuses the request as not run if it was not sent to a target yet. */
  refuseIfUnsent(): void;
  /** Ends the request because the caller has disconnected; sends nothing more. */
  cancel(): void;
  /** Ends the request because the entry stops; tells the caller whether it may have run. */
  interrupt(): void;
}
