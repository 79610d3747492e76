/**
 * Interfaces between a gateway and its platform: a store of rows, the encoding of the configuration
 * and of targets in these rows, and the protocols of callers and targets.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import type {
  HeldRange, LayerRange, Priority, Refusal, ServingConfig, ServingTarget,
} from '@verbenashunt/core';
import type { OutgoingRequest } from '@verbenashunt/wire';

/** A row of the store; `value` is undefined if the row was removed. */
export interface StoredRow {
  key: string;
  value: Buffer | undefined;
  /** Increases with each change of the row. */
  version: number;
}

/** State of the store when it answered a call. */
export interface StoreState {
  /** Version of the store; comparable only with versions of the same era. */
  version: number;
  /** Number of times that the store was restored from an older copy; 0 if it doesn't say. */
  era: number;
  /** Time on the store's monotonic clock in milliseconds. */
  now: number;
}

export interface TableState extends StoreState {
  rows: StoredRow[];
  /** Entry that passed the state on; undefined if the store itself answered. */
  via?: string;
  /** When this was the newest state, on this process's clock; undefined if that is not known. */
  asOf?: number;
}

export interface RowCondition {
  table: string;
  key: string;
  /** Version that the row must have; 0 if it must not exist. */
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
 * Store of rows with conditional writes. Calls reject with PlatformRateError if nothing was done,
 * ConflictError if a condition failed, HistoryLostError if the changes since `after` are no longer
 * available, and with another PlatformError if it is unknown whether the call took effect.
 */
export interface RowStore {
  read(table: string): Promise<TableState>;
  /** Returns the changes after a version, as soon as there are any or after `waitMs`. */
  changes(table: string, after: number, waitMs: number): Promise<TableState>;
  write(transaction: RowTransaction): Promise<StoreState>;
  close(): void;
}

/** Tables in which the platform publishes the configuration and the targets, and their decoders. */
export interface PlatformRows {
  configTable: string;
  /** Returns undefined for a row that is not the configuration; throws ProtocolError if invalid. */
  decodeConfig(row: StoredRow): ServingConfig | undefined;
  targetTable: string;
  /** Returns undefined for a row that names no usable target; throws ProtocolError if invalid. */
  decodeTarget(row: StoredRow): ServingTarget | undefined;
}

/** A caller's request as decoded from its request line and headers. */
export interface CallerRequest {
  /** Id that the caller gave to this attempt of its request. */
  id: string;
  host: string;
  /** Path and query, as sent. */
  target: string;
  method: string;
  /** Bearer key. */
  key: string | undefined;
  /** Time in milliseconds that the caller waits for the answer. */
  deadlineMs: number | undefined;
  promptTokens: number;
  /**
   * Ids of the prompt's parts in order. Requests share parts; the last one belongs to this request
   * or its session alone. Empty if the caller states none.
   */
  promptParts: readonly string[];
  /** Maximum number of tokens of the answer. */
  maxAnswerTokens: number | undefined;
  /** Id of the last event that the caller has received of this stream. */
  lastEventId: number | undefined;
  /** Headers to forward to the target, as alternating names and values. */
  headers: string[];
}

export interface CallerProtocol {
  /** Decodes a request; throws a refusal if it violates the protocol. */
  read(req: IncomingMessage): CallerRequest;
  /** Sends a refusal as the answer. */
  refuse(res: ServerResponse, refusal: Refusal, requestId: string | undefined): void;
  /** Selects the headers of a target's answer that are forwarded to the caller. */
  answerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]>;
}

/** One target of a chain, with the layers that it runs. */
export interface ChainPart extends LayerRange {
  address: string;
}

/** One attempt of a request at a target. */
export interface AttemptRequest {
  caller: CallerRequest;
  body: Buffer | undefined;
  organisation: string | undefined;
  /** Tells the target which requests to start first; undefined if it is told nothing. */
  priority: Priority | undefined;
  target: ServingTarget;
  /** Parts of the chain, starting with `target`; undefined if it serves the request alone. */
  chain: readonly ChainPart[] | undefined;
  timeLeftMs: number;
  /** Id of the last event that the caller has received so far. */
  lastEventId: number | undefined;
}

/** Information in the status and headers of a target's answer. */
export interface AnswerHead {
  /** Id of the request that the answer belongs to; undefined if it names none. */
  requestId: string | undefined;
  /** Whether the request has not run and will not. */
  notRun: boolean;
  /** Address of the target at fault; undefined if the answer names none. */
  blamed: string | undefined;
}

/** What a target says about itself in the status and headers of any answer. */
export interface Announcement {
  /** Whether the target announces that it is leaving. */
  isLeaving: boolean;
  /** Milliseconds for which the target wants no more requests from this entry; 0 for none. */
  pauseMs: number;
  /** Requests per second that the target takes from all entries; undefined if it states none. */
  limitPerS: number | undefined;
}

/** Load and state that a target reports. */
export interface TargetReport {
  /** Whether an order is in progress. */
  busy: boolean;
  /** Number of orders accepted since the target started. */
  orders: number;
  /** Start of its process in Unix milliseconds; undefined when not reported. */
  startedAt: number | undefined;
  held: HeldRange | undefined;
  /** Name of the accelerator kind; undefined if not reported. */
  kind: string | undefined;
  /** Factor by which the target is slower than normal; 1 when healthy. */
  slowdown: number;
  /** KV memory in use that can't be evicted, in tokens times layers. */
  kvUsed: number;
  kvTotal: number;
  /** Requests that wait for another target of their chain, with that target's address. */
  stalled: readonly { requestId: string; address: string }[];
}

/** An order to hold a range of layers. */
export interface PlaceOrder extends LayerRange {
  fencingToken: number;
  /** Number of orders that the target must have accepted before this one, else it refuses. */
  expectedOrders: number;
}

/**
 * Result of an order; `begun` means that the target accepted it and has started to carry it out,
 * `done` that it is complete.
 */
export type OrderResult = 'begun' | 'done' | 'conflict' | 'fenced' | 'refused';

export interface TargetProtocol {
  encode(attempt: AttemptRequest): OutgoingRequest;
  head(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /**
   * To be called once for each answer, as it counts the headers that are not valid. Returns
   * undefined if another target may have given the answer.
   */
  announcement(status: number, headers: IncomingHttpHeaders): Announcement | undefined;
  reportRequest(target: ServingTarget): OutgoingRequest;
  /** Throws ProtocolError. */
  decodeReport(status: number, body: Buffer): TargetReport;
  placeRequest(target: ServingTarget, order: PlaceOrder): OutgoingRequest;
  /** Encodes an order to continue a request on another chain with the same first target. */
  repathRequest(
    target: ServingTarget,
    requestId: string,
    chain: readonly ChainPart[],
    fencingToken: number | undefined,
  ): OutgoingRequest;
  orderResult(status: number): OrderResult;
}

/** Everything that is specific to one platform. */
export interface PlatformPorts {
  store: RowStore;
  rows: PlatformRows;
  callers: CallerProtocol;
  targets: TargetProtocol;
}
