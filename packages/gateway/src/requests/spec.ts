/** One request as the parts of an entry hand it to each other. */
import type { IncomingHttpHeaders } from 'node:http';
import type {
  RetryPolicy, Refusal, RequestSize, ServingRoute, ServingService,
} from '@verbenashunt/core';
import type { CallerRequest } from '../ports.js';

export interface RequestSpec extends RetryPolicy {
  caller: CallerRequest;
  body: Buffer | undefined;
  /** Version of the configuration that the request was read under. */
  version: number;
  route: ServingRoute;
  service: ServingService;
  organisation: string | undefined;
  /** Expected size; counts for services with engines alone. */
  size: RequestSize;
  /** When the request arrived, on the entry's clock. */
  arrivedAt: number;
  /** When the caller or the route waits no longer, on the entry's clock. */
  expiresAt: number;
}

/** A whole answer of a target. */
export interface WholeAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** It had a length or an end of its own; if not, it must not get one on its way. */
  isFramed: boolean;
}

/** An answer that is passed on as it arrives; text is in latin1. */
export interface AnswerWriter {
  write(text: string): void;
  end(text: string): void;
}

/** Where a request's answer goes; exactly one of its calls ends the request. */
export interface AnswerSink {
  whole(answer: WholeAnswer): void;
  open(status: number, headers: IncomingHttpHeaders): AnswerWriter;
  refuse(refusal: Refusal): void;
  /** Closes the connection, so that the answer doesn't look complete. */
  cut(): void;
}

export interface RequestRun {
  /** The caller has left; nothing more is sent to it. */
  cancel(): void;
  /** The entry stops; the caller is told what is known. */
  interrupt(): void;
}
