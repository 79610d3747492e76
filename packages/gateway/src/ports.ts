/**
 * What an entry without agents needs of the platform that it runs on: a store of rows, the spelling
 * of configuration and targets in it, and the protocols that callers and targets speak.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type {
  HeldRange, LayerRange, Refusal, ServingConfig, ServingTarget,
} from '@verbenashunt/core';
import type { OutgoingRequest } from '@verbenashunt/wire';

/** A row of the store; `value` is undefined for one that was removed. */
export interface StoredRow {
  key: string;
  value: Buffer | undefined;
  /** Grows with each change of the row. */
  version: number;
}

export interface TableState {
  rows: StoredRow[];
  /** Version of the store at which the rows were read. */
  version: number;
  /** The store's steady clock in milliseconds. */
  now: number;
}

export interface RowCondition {
  table: string;
  key: string;
  /** 0 where the row must not exist. */
  version: number;
}

export interface RowWrite {
  table: string;
  key: string;
  value: Buffer;
}

export interface RowTransaction {
  expect: RowCondition[];
  put: RowWrite[];
}

/**
 * Rows under conditions. Calls reject with PlatformRateError when nothing was done, ConflictError
 * when a condition failed, HistoryLostError when changes can't be told any more, and with another
 * PlatformError when the effect is unknown.
 */
export interface RowStore {
  read(table: string): Promise<TableState>;
  /** Changes after a version, as soon as there is one or after `waitMs`. */
  changes(table: string, after: number, waitMs: number): Promise<TableState>;
  write(transaction: RowTransaction): Promise<{ version: number; now: number }>;
  close(): void;
}

/** Where the platform keeps what it tells the system, and how that is read. */
export interface PlatformRows {
  configTable: string;
  /** Undefined for a row that is not the configuration. Throws ProtocolError. */
  decodeConfig(row: StoredRow): ServingConfig | undefined;
  targetTable: string;
  /** Undefined for a row that names no target that could be used. Throws ProtocolError. */
  decodeTarget(row: StoredRow): ServingTarget | undefined;
}

/** What a caller says of its request in headers. */
export interface CallerRequest {
  /** Id of this attempt of the caller. */
  id: string;
  host: string;
  /** Path and query, as sent. */
  target: string;
  method: string;
  /** Bearer key. */
  key: string | undefined;
  /** Time that the caller will wait in milliseconds. */
  deadlineMs: number | undefined;
  promptTokens: number;
  /** Tokens of the answer at the most. */
  maxAnswerTokens: number | undefined;
  /** Id of the last event that the caller has of this stream. */
  lastEventId: number | undefined;
  /** Headers to pass on, names and values in turn. */
  headers: string[];
}

export interface CallerProtocol {
  /** Throws a refusal for what isn't a request of the protocol. */
  read(req: IncomingMessage): CallerRequest;
  /** Answers that a request was refused. */
  refuse(res: ServerResponse, refusal: Refusal, requestId: string | undefined): void;
  /** Headers of a target's answer that are passed on to the caller. */
  answerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]>;
}

/** A part of a chain: the layers that one target runs. */
export interface ChainPart extends LayerRange {
  address: string;
}

/** One attempt of a request at a target. */
export interface AttemptRequest {
  caller: CallerRequest;
  body: Buffer | undefined;
  organisation: string | undefined;
  target: ServingTarget;
  /** Parts of the chain, the target's own first; undefined where it serves alone. */
  chain: readonly ChainPart[] | undefined;
  timeLeftMs: number;
  /** Id of the last event that the caller has by now. */
  lastEventId: number | undefined;
}

/** What the head of a target's answer says. */
export interface AnswerHead {
  /** Id of the request that the answer belongs to; undefined where it names none. */
  requestId: string | undefined;
  /** The request did not run and will not. */
  notRun: boolean;
  /** Address of the target that is at fault. */
  blamed: string | undefined;
}

/** Load and state as a target reports them. */
export interface TargetReport {
  /** An order is in progress. */
  busy: boolean;
  /** Orders accepted since the start of the target. */
  orders: number;
  held: HeldRange | undefined;
  kind: string | undefined;
  /** Factor on the time of its work; over 1 when slow. */
  slowdown: number;
  /** KV memory that can't yield, in tokens times layers. */
  kvUsed: number;
  kvTotal: number;
  /** Requests that wait for another target of their chain. */
  stalled: readonly { requestId: string; address: string }[];
}

/** An order to hold a range of layers. */
export interface PlaceOrder extends LayerRange {
  fencingToken: number;
  /** Orders that the target must have accepted by then. */
  expectedOrders: number;
}

/** What came of an order. */
export type OrderResult = 'accepted' | 'done' | 'conflict' | 'fenced' | 'refused';

export interface TargetProtocol {
  encode(attempt: AttemptRequest): OutgoingRequest;
  head(status: number, headers: IncomingHttpHeaders): AnswerHead;
  reportRequest(target: ServingTarget): OutgoingRequest;
  /** Throws ProtocolError. */
  decodeReport(status: number, body: Buffer): TargetReport;
  placeRequest(target: ServingTarget, order: PlaceOrder): OutgoingRequest;
  /** Sends the rest of a request over another chain with the same first part. */
  repathRequest(
    target: ServingTarget,
    requestId: string,
    chain: readonly ChainPart[],
    fencingToken: number | undefined,
  ): OutgoingRequest;
  orderResult(status: number): OrderResult;
}

/** Everything that differs from platform to platform. */
export interface PlatformPorts {
  store: RowStore;
  rows: PlatformRows;
  callers: CallerProtocol;
  targets: TargetProtocol;
}
