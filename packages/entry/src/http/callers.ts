/** HTTP handlers of the caller API: chat completions, models and calls to services. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  classOfChat, createRefusal, isRepeatable, sha256,
  type Clock, type ConfigHolder, type ConfigView, type Refusal,
} from '@verbenashunt/core';
import type { OrganisationDecl } from '@verbenashunt/schema';
import { canRespond, endByClosing, type BodyReader } from '@verbenashunt/wire';
import type { EntryMetrics } from '../metrics.js';
import type { GenerationSink, GenerationSpec } from '../requests/generation.js';
import type { RequestRun } from '../requests/registry.js';
import type { ServiceCallSink, ServiceCallSpec } from '../requests/service-call.js';
import { sendJson, sendRefusal } from './responses.js';
import {
  bearerKeyOf, createChatSink, parseChat, promptTokensOf, sharedPartsOf,
} from './chat.js';
import { forwardedHeadersOf, methodOf, requestUrlOf } from './forward.js';
import { createRequestMeter, createMeteredSink, type RequestMeter } from './request-meter.js';

const defaultMaxTokens = 256;
const millisecondsPerSecond = 1000;

export interface CallerHandlerDeps {
  clock: Clock;
  config: ConfigHolder;
  metrics: EntryMetrics;
  readBody: BodyReader;
  maxBodyBytes: number;
  maxPromptTokens: number;
  maxStreamBacklogBytes: number;
  requestTimeoutMs: number;
  stopping(): boolean;
  nextId(): string;
  generate(spec: GenerationSpec, sink: GenerationSink): RequestRun;
  call(spec: ServiceCallSpec, targets: readonly string[], sink: ServiceCallSink): RequestRun;
}

interface AuthorizedRequest {
  view: ConfigView;
  org: OrganisationDecl;
}

const maxIdempotencyKeyLength = 255;

/** The Idempotency-Key of a call that may not be repeated. Throws a refusal if it is missing. */
function idempotencyKeyOf(req: IncomingMessage): string {
  const key = req.headers['idempotency-key'];
  if (typeof key === 'string' && key !== '' && key.length <= maxIdempotencyKeyLength) return key;
  throw createRefusal('key_required');
}

export function createCallerHandlers(deps: CallerHandlerDeps) {
  const { clock, metrics, readBody } = deps;
  const streamLimits = {
    maxBacklogBytes: deps.maxStreamBacklogBytes, onSlowReader: metrics.countSlowReader,
  };
  /** Functions that abort the open requests, for a shutdown that no longer waits for them. */
  const abortHandlers = new Set<() => void>();

  function checkStopping() {
    if (deps.stopping()) throw createRefusal('stopping');
  }

  function authorize(req: IncomingMessage): AuthorizedRequest {
    const { view } = deps.config;
    if (!view) throw createRefusal('not_ready');
    checkStopping();
    const org = view.organisationOf(sha256(bearerKeyOf(req)));
    if (!org) throw createRefusal('unauthorized');
    return { view, org };
  }

  function checkFleet({ org }: AuthorizedRequest, fleet: string) {
    if (org.fleets && !org.fleets.includes(fleet)) throw createRefusal('forbidden');
  }

  /** Cancels the run when its connection closes, and lets `interruptAll` abort it. */
  function bindToConnection(
    res: ServerResponse,
    run: RequestRun,
    meter: RequestMeter,
    refuse: () => void,
  ) {
    const abort = () => {
      if (res.writableEnded) return;
      run.cancel();
      refuse();
    };
    abortHandlers.add(abort);
    res.once('close', () => {
      abortHandlers.delete(abort);
      meter.callerDisconnected();
      run.cancel();
    });
  }

  return {
    /** Aborts and refuses all requests in flight; whether agents executed them is unknown. */
    interruptAll: () => [...abortHandlers].forEach((abort) => abort()),

    async chat(req: IncomingMessage, res: ServerResponse) {
      const authorized = authorize(req);
      const chat = parseChat(await readBody(req, { maxBytes: deps.maxBodyBytes }));
      checkStopping();
      const found = authorized.view.modelOf(chat.model);
      if (!found) throw createRefusal('not_found', { detail: chat.model });
      checkFleet(authorized, found.fleet);
      if (!canRespond(res)) return;
      const id = deps.nextId();
      const prompt = promptTokensOf(chat);
      if (prompt.length > deps.maxPromptTokens) {
        throw createRefusal('bad_request', { detail: `the prompt has more than ${deps.maxPromptTokens} tokens` });
      }
      const createdSeconds = Math.floor(clock.wall() / millisecondsPerSecond);
      const sink = createChatSink(res, {
        id, model: chat.model, createdSeconds, promptTokens: prompt.length,
      }, chat.stream ?? false, streamLimits);
      const maxTokens = chat.max_tokens ?? defaultMaxTokens;
      const { name: cls, priority } = classOfChat(maxTokens);
      const labels = { org: authorized.org.name, cls };
      const meter = createRequestMeter(metrics, clock, labels);
      const meteredSink = createMeteredSink(sink, meter);
      const run = deps.generate({
        req: id,
        ...labels,
        model: found.model.name,
        version: found.model.version,
        layers: found.model.layers,
        prompt,
        parts: sharedPartsOf(chat),
        maxTokens,
        priority,
        deadline: clock.now() + deps.requestTimeoutMs,
      }, meteredSink);
      bindToConnection(res, run, meter, () => meteredSink.refuse(createRefusal('interrupted')));
    },

    async models(req: IncomingMessage, res: ServerResponse) {
      const { view, org } = authorize(req);
      const data = view.declarations.fleets
        .filter(({ name }) => !org.fleets || org.fleets.includes(name))
        .flatMap(({ name, models = [] }) => models
          .map((model) => ({ id: model.name, object: 'model', owned_by: name })));
      sendJson(res, 200, { object: 'list', data });
    },

    async service(req: IncomingMessage, res: ServerResponse) {
      const authorized = authorize(req);
      const method = methodOf(req);
      const url = requestUrlOf(req);
      const match = authorized.view.routeOf(method, url.pathname);
      if (!match) throw createRefusal('not_found', { detail: `${method} ${url.pathname}` });
      checkFleet(authorized, match.fleet);
      const repeatable = isRepeatable(match.route, method);
      const key = repeatable ? undefined : idempotencyKeyOf(req);
      const body = await readBody(req, { maxBytes: deps.maxBodyBytes });
      checkStopping();
      if (!canRespond(res)) return;
      const id = deps.nextId();
      const startedAt = clock.now();
      const labels = { org: authorized.org.name, cls: match.route.cls ?? 'service' };
      const meter = createRequestMeter(metrics, clock, labels);
      const refuse = (refusal: Refusal) => {
        meter.finish(refusal.code);
        sendRefusal(res, refusal, id);
      };
      const run = deps.call({
        req: id,
        ...labels,
        method,
        path: url.pathname + url.search,
        headers: forwardedHeadersOf(req),
        body: body.toString('base64'),
        repeatable,
        key,
        deadline: startedAt + (match.route.timeoutMs ?? deps.requestTimeoutMs),
      }, match.route.targets, {
        result(result) {
          meter.finish('completed');
          // The end of an answer without framing is only as sure as the service's own.
          if (result.isFramed === false) endByClosing(res);
          res.writeHead(result.status, result.headers);
          res.end(Buffer.from(result.body, 'base64'));
        },
        refuse,
      });
      bindToConnection(res, run, meter, () => refuse(createRefusal('outcome_unknown')));
    },
  };
}
