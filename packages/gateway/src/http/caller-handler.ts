/** Handles callers' requests: validates them, and refuses those that can't be served. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  BaseError, createRefusal, toRefusal, type Clock, type Refusal, type ServingView,
} from '@verbenashunt/core';
import {
  afterNextRead, canRespond, createMemoryRefusal, hasBody, isBodyUnread,
  type BodyLimits, type BodyReader,
} from '@verbenashunt/wire';
import type { GatewayMetrics } from '../metrics.js';
import type { CallerProtocol, CallerRequest } from '../ports.js';
import type { RequestLog } from '../requests/request-log.js';
import { specOf } from '../requests/spec-of.js';
import type { RequestSpec } from '../requests/spec.js';
import { headerBytesOf } from './server.js';

/** A request without its body, which may still be on its way. */
type RequestHead = Omit<RequestSpec, 'body'>;

export interface CallerHandlerDeps {
  clock: Clock;
  random: () => number;
  log: RequestLog;
  metrics: GatewayMetrics;
  callers: CallerProtocol;
  readBody: BodyReader;
  /** Configuration in force; undefined before the first one arrives. */
  view(): ServingView | undefined;
  /** Whether the entry is stopping. */
  isStopping(): boolean;
  /** Returns a refusal if the entry is stopping and the request could no longer complete. */
  refusalWhileStopping(spec: RequestHead): Refusal | undefined;
  /** Whether other requests need the memory of this one, which must not run then. */
  hasGivenWay(req: IncomingMessage): boolean;
  /** Why the request must not run, as it crashes targets; undefined if it may run. */
  findPoison(spec: RequestSpec): string | undefined;
  run(spec: RequestSpec, res: ServerResponse): void;
}

/** Whether the caller has closed its connection or its side of it, or was answered already. */
const hasLeft = ({ socket }: IncomingMessage, res: ServerResponse) => !canRespond(res)
  || socket.readableEnded;

export function createCallerHandler(deps: CallerHandlerDeps) {
  const { callers } = deps;

  /** Requests whose bodies are being received, with what ends that. */
  const receiving = new Map<AbortController, RequestHead>();

  async function receiveBody(req: IncomingMessage, head: RequestHead, limits: BodyLimits) {
    const controller = new AbortController();
    receiving.set(controller, head);
    try {
      return await deps.readBody(req, { ...limits, signal: controller.signal });
    } finally {
      receiving.delete(controller);
    }
  }

  /** Reads the body and returns the request; throws a refusal if it can't be served. */
  async function admit(
    req: IncomingMessage,
    caller: CallerRequest,
    arrivedAt: number,
  ): Promise<RequestSpec> {
    const view = deps.view();
    if (!view) throw createRefusal('not_ready');
    const { maxBodyBytes, maxHeaderBytes } = view.config.limits;
    if (headerBytesOf(req) > maxHeaderBytes) throw createRefusal('headers_too_large');
    const specWithoutBody = specOf(view, caller, arrivedAt, deps.random());
    const refusal = deps.refusalWhileStopping(specWithoutBody);
    if (refusal) throw refusal;
    const timeLeftMs = Math.max(0, specWithoutBody.expiresAt - deps.clock.now());
    const body = hasBody(req)
      ? await receiveBody(req, specWithoutBody, { maxBytes: maxBodyBytes, timeoutMs: timeLeftMs })
      : undefined;
    // The body may have taken most of the grace time.
    const lateRefusal = deps.refusalWhileStopping(specWithoutBody);
    if (lateRefusal) throw lateRefusal;
    const spec = { ...specWithoutBody, body };
    const poison = deps.findPoison(spec);
    if (poison !== undefined) throw createRefusal('quarantined', { detail: poison });
    return spec;
  }

  function refuse(res: ServerResponse, caller: CallerRequest | undefined, err: unknown) {
    const refusal = toRefusal(err);
    deps.log.info({
      req: caller?.id,
      code: refusal.code,
      reason: BaseError.normalize(err).message,
      version: deps.view()?.config.version,
    }, 'request refused');
    deps.metrics.refused(refusal.code);
    if (!res.headersSent) callers.refuse(res, refusal, caller?.id);
  }

  async function handle(
    req: IncomingMessage,
    res: ServerResponse,
    connectionRefusal: Refusal | undefined,
  ) {
    const arrivedAt = deps.clock.now();
    let caller: CallerRequest | undefined;
    if (deps.isStopping()) res.shouldKeepAlive = false;
    try {
      caller = callers.read(req);
      if (connectionRefusal) throw connectionRefusal;
      const spec = await admit(req, caller, arrivedAt);
      // On a busy VM a request may have waited unread while its caller gave up.
      await afterNextRead();
      if (deps.hasGivenWay(req)) throw createMemoryRefusal();
      if (hasLeft(req, res)) deps.log.info({ req: caller.id }, 'caller left before the request was sent on');
      else deps.run(spec, res);
    } catch (err) {
      if (isBodyUnread(req) || connectionRefusal) res.shouldKeepAlive = false;
      refuse(res, caller, err);
    }
  }

  return {
    handle,
    /** Refuses the requests that are being received and can't be served before the entry stops. */
    refuseIncomplete() {
      receiving.forEach((head, controller) => {
        const refusal = deps.refusalWhileStopping(head);
        if (refusal) controller.abort(refusal);
      });
    },
  };
}
