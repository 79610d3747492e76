/** The callers' API of an entry: chat, models and plain services. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  classOfChat, createRefusal, isRepeatable, sha256,
  type Clock, type ConfigHolder, type ConfigView, type Refusal,
} from '@verbenashunt/core';
import type { OrganisationDecl } from '@verbenashunt/schema';
import type { BodyReader } from '@verbenashunt/wire';
import type { EntryMetrics } from '../metrics.js';
import type { GenerationSink, GenerationSpec } from '../requests/generation.js';
import type { RequestRun } from '../requests/registry.js';
import type { ServiceCallSink, ServiceCallSpec } from '../requests/service-call.js';
import { sendJson, sendRefusal } from './answers.js';
import {
  bearerOf, createChatSink, parseChat, promptOf,
} from './chat.js';
import { headersOf, methodOf, targetOf } from './forward.js';
import { createRequestMeter, measured, type RequestMeter } from './measure.js';

const defaultMaxTokens = 256;
const millisecondsPerSecond = 1000;

export interface CallerDeps {
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

interface Admitted {
  view: ConfigView;
  org: OrganisationDecl;
}

const maxKeyLength = 255;

/** The Idempotency-Key of a call that may not be repeated; refuses one without. */
function keyOf(req: IncomingMessage): string {
  const key = req.headers['idempotency-key'];
  if (typeof key === 'string' && key !== '' && key.length <= maxKeyLength) return key;
  throw createRefusal('key_required');
}

export function createCallerHandlers(deps: CallerDeps) {
  const { clock, metrics, readBody } = deps;
  const streamBounds = {
    maxBacklogBytes: deps.maxStreamBacklogBytes, onSlowReader: metrics.slowReader,
  };
  /** Refuses what is still open, for a stop that waits no longer. */
  const open = new Set<() => void>();

  function admit(req: IncomingMessage): Admitted {
    const { view } = deps.config;
    if (!view) throw createRefusal('not_ready');
    if (deps.stopping()) throw createRefusal('stopping');
    const org = view.organisationOf(sha256(bearerOf(req)));
    if (!org) throw createRefusal('unauthorized');
    return { view, org };
  }

  function checkFleet({ org }: Admitted, fleet: string) {
    if (org.fleets && !org.fleets.includes(fleet)) throw createRefusal('forbidden');
  }

  /** Ends the run with its connection, and keeps the way to refuse it at a hurried stop. */
  function own(res: ServerResponse, run: RequestRun, meter: RequestMeter, refuse: () => void) {
    const abort = () => {
      if (res.writableEnded) return;
      run.cancel();
      refuse();
    };
    open.add(abort);
    res.once('close', () => {
      open.delete(abort);
      meter.gone();
      run.cancel();
    });
  }

  return {
    /** Refuses all that is in flight; what became of it is not known. */
    interrupt: () => [...open].forEach((abort) => abort()),

    async chat(req: IncomingMessage, res: ServerResponse) {
      const admitted = admit(req);
      const chat = parseChat(await readBody(req, deps.maxBodyBytes));
      const found = admitted.view.modelOf(chat.model);
      if (!found) throw createRefusal('not_found', { detail: chat.model });
      checkFleet(admitted, found.fleet);
      const id = deps.nextId();
      const prompt = promptOf(chat);
      if (prompt.length > deps.maxPromptTokens) {
        throw createRefusal('bad_request', { detail: `the prompt has more than ${deps.maxPromptTokens} tokens` });
      }
      const createdSeconds = Math.floor(clock.wall() / millisecondsPerSecond);
      const sink = createChatSink(res, {
        id, model: chat.model, createdSeconds, promptTokens: prompt.length,
      }, chat.stream ?? false, streamBounds);
      const maxTokens = chat.max_tokens ?? defaultMaxTokens;
      const { name: cls, priority } = classOfChat(maxTokens);
      const labels = { org: admitted.org.name, cls };
      const meter = createRequestMeter(metrics, clock, labels);
      const caller = measured(sink, meter);
      const run = deps.generate({
        req: id,
        ...labels,
        model: found.model.name,
        version: found.model.version,
        layers: found.model.layers,
        prompt,
        maxTokens,
        priority,
        deadline: clock.now() + deps.requestTimeoutMs,
      }, caller);
      own(res, run, meter, () => caller.refuse(createRefusal('interrupted')));
    },

    async models(req: IncomingMessage, res: ServerResponse) {
      const { view, org } = admit(req);
      const data = view.declarations.fleets
        .filter(({ name }) => !org.fleets || org.fleets.includes(name))
        .flatMap(({ name, models = [] }) => models
          .map((model) => ({ id: model.name, object: 'model', owned_by: name })));
      sendJson(res, 200, { object: 'list', data });
    },

    async service(req: IncomingMessage, res: ServerResponse) {
      const admitted = admit(req);
      const method = methodOf(req);
      const url = targetOf(req);
      const match = admitted.view.routeOf(method, url.pathname);
      if (!match) throw createRefusal('not_found', { detail: `${method} ${url.pathname}` });
      checkFleet(admitted, match.fleet);
      const repeatable = isRepeatable(match.route, method);
      const key = repeatable ? undefined : keyOf(req);
      const body = await readBody(req, deps.maxBodyBytes);
      const id = deps.nextId();
      const startedAt = clock.now();
      const labels = { org: admitted.org.name, cls: match.route.cls ?? 'service' };
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
        headers: headersOf(req),
        body: body.toString('base64'),
        repeatable,
        key,
        deadline: startedAt + (match.route.timeoutMs ?? deps.requestTimeoutMs),
      }, match.route.targets, {
        result(result) {
          meter.finish('completed');
          res.writeHead(result.status, result.headers);
          res.end(Buffer.from(result.body, 'base64'));
        },
        refuse,
      });
      own(res, run, meter, () => refuse(createRefusal('outcome_unknown')));
    },
  };
}
