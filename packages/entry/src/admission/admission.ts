/**
 * Admission of requests at an entry: organisation limits first, then one fair queue per resource. A
 * resource is a model or the set of targets of a route.
 */
import {
  chatClass, createAdmission, createOrgLimits, draftClass, generationCost, lookupClass,
  type Admission, type AdmissionWork, type Clock, type ConfigHolder, type Refusal,
} from '@verbenashunt/core';
import type { LimitDecl } from '@verbenashunt/schema';
import type { GenerationSink, GenerationSpec } from '../requests/generation-spec.js';
import type { RequestRun } from '../requests/registry.js';
import type { ServiceCallSink, ServiceCallSpec } from '../requests/service-call.js';
import type { Routing } from '../routing/routing.js';

/** Milliseconds between attempts to start queued work; each end of a request also triggers one. */
const pollMs = 20;
/** Work with a longer estimated wait in milliseconds is refused with a time to retry after. */
const maxWaitMs = 5000;
const demandIntervalMs = 500;
/** Maximum number of times that work is queued again because it found no capacity when started. */
const maxRequeues = 10;

export interface EntryAdmission {
  readonly queued: number;
  generate(spec: GenerationSpec, sink: GenerationSink): RequestRun;
  call(spec: ServiceCallSpec, targets: readonly string[], sink: ServiceCallSink): RequestRun;
  close(): void;
}

export interface EntryAdmissionDeps {
  clock: Clock;
  config: ConfigHolder;
  routing: Routing;
  maxQueue: number;
  /** Names of the other live entries. */
  otherEntries(): readonly string[];
  startGeneration(spec: GenerationSpec, sink: GenerationSink): RequestRun;
  startCall(
    spec: ServiceCallSpec,
    targets: readonly string[],
    sink: ServiceCallSink,
  ): RequestRun;
}

interface QueuedRequest extends AdmissionWork {
  hasCapacity(): boolean;
}

interface AdmissionJob {
  org: string;
  priority: number;
  deadline: number;
  cost: number;
  hasCapacity(): boolean;
  refuse(refusal: Refusal): void;
  /**
   * Starts the work, which calls one of the callbacks when it ends. Agents fence the id of a
   * request that gave up, so each start after the first appends another suffix to the id.
   */
  start(
    suffix: string,
    onEnd: (actualCost: number) => void,
    onNoCapacity: (refusal: Refusal) => void,
  ): RequestRun;
}

export function createEntryAdmission(deps: EntryAdmissionDeps): EntryAdmission {
  const { clock, config, routing } = deps;
  const resources = new Map<string, Admission>();
  const limits = createOrgLimits({ now: () => clock.now(), otherEntries: deps.otherEntries });
  const queued = () => [...resources.values()].reduce((sum, r) => sum + r.queued, 0);
  let cancelPoll: (() => void) | undefined;

  let cancelMeasurement = () => {};

  /** Measures demand at a fixed interval; this entry's share of each limit depends on it. */
  function measureDemand() {
    limits.measureDemand();
    cancelMeasurement = clock.after(demandIntervalMs, measureDemand);
  }
  measureDemand();

  function poll() {
    cancelPoll = undefined;
    resources.forEach((resource) => resource.dispatch());
    if (queued() > 0) cancelPoll = clock.after(pollMs, poll);
  }

  function getOrCreateResource(name: string): Admission {
    const resource = resources.get(name) ?? createAdmission({
      now: () => clock.now(),
      maxQueue: deps.maxQueue,
      maxWaitMs,
      canStart: (work) => (work as QueuedRequest).hasCapacity(),
    });
    resources.set(name, resource);
    return resource;
  }

  const limitsOf = (org: string): LimitDecl => config.view?.declarations.organisations
    .find(({ name }) => name === org)?.limits ?? {};

  /** Counts the request against the organisation's limits, then queues it. */
  function submit(resourceName: string, job: AdmissionJob): RequestRun {
    const resource = getOrCreateResource(resourceName);
    const limit = limitsOf(job.org);
    const { org } = job;
    let run: RequestRun | undefined;
    let requeues = 0;
    let released = false;

    function releaseLimit() {
      if (released) return;
      released = true;
      limits.release(org);
    }

    const refuse = (refusal: Refusal) => {
      releaseLimit();
      job.refuse(refusal);
    };

    const work: QueuedRequest = {
      org,
      weight: limit.weight ?? 1,
      priority: job.priority,
      deadline: job.deadline,
      cost: job.cost,
      hasCapacity: job.hasCapacity,
      refuse,
      start() {
        const suffix = requeues === 0 ? '' : `.${requeues}`;
        let ended = false;
        const started = job.start(suffix, (actualCost) => {
          ended = true;
          releaseLimit();
          resource.recordActualCost(work, actualCost);
          resource.dispatch();
        }, (refusal) => {
          ended = true;
          requeues += 1;
          run = undefined;
          if (requeues > maxRequeues) refuse(refusal);
          else resource.requeue(work);
          cancelPoll ??= clock.after(pollMs, poll);
        });
        // The work may have ended before `job.start` returned.
        if (!ended) run = started;
      },
    };

    const refusal = limits.acquire(org, limit);
    if (refusal) {
      released = true;
      job.refuse(refusal);
    } else {
      resource.submit(work);
      if (resource.queued > 0) cancelPoll ??= clock.after(pollMs, poll);
    }
    return {
      receive: (node, message) => run?.receive(node, message),
      onAgentLost: (node) => run?.onAgentLost(node),
      onAgentResumed: (node) => run?.onAgentResumed(node),
      cancel() {
        releaseLimit();
        if (run) run.cancel();
        else resource.cancel(work);
        resource.dispatch();
      },
    };
  }

  const foundNoCapacity = ({ code, ran }: Refusal) => code === 'overloaded' && ran === 'no';
  const classOf = (cls: string) => (cls === draftClass.name ? draftClass : chatClass);

  return {
    get queued() {
      return queued();
    },
    generate: (spec, sink) => submit(`model ${spec.model}`, {
      org: spec.org,
      priority: classOf(spec.cls).priority,
      deadline: spec.deadline,
      cost: generationCost(spec.prompt.length, spec.maxTokens),
      hasCapacity: () => routing.canStartGeneration(spec),
      refuse: sink.refuse,
      start(suffix, onEnd, onNoCapacity) {
        const req = spec.req + suffix;
        let tokens = 0;
        let firstTokenAt = 0;
        const cost = () => generationCost(spec.prompt.length, tokens);
        const run = deps.startGeneration({ ...spec, req }, {
          token(token) {
            tokens += 1;
            if (tokens === 1) firstTokenAt = clock.now();
            sink.token(token);
          },
          end(reason) {
            const msPerToken = (clock.now() - firstTokenAt) / (tokens - 1);
            routing.recordEnd(req, tokens > 1 ? msPerToken : undefined);
            sink.end(reason);
            onEnd(cost());
          },
          refuse(refusal) {
            routing.recordEnd(req, undefined);
            if (foundNoCapacity(refusal)) {
              onNoCapacity(refusal);
              return;
            }
            sink.refuse(refusal);
            onEnd(cost());
          },
        });
        return {
          ...run,
          cancel() {
            routing.recordEnd(req, undefined);
            run.cancel();
          },
        };
      },
    }),
    call: (spec, targets, sink) => submit(`targets ${targets.join(' ')}`, {
      org: spec.org,
      priority: lookupClass.priority,
      deadline: spec.deadline,
      cost: 1,
      hasCapacity: () => routing.canStartCall(targets),
      refuse: sink.refuse,
      start: (suffix, onEnd, onNoCapacity) => deps.startCall({
        ...spec, req: spec.req + suffix,
      }, targets, {
        result(result) {
          sink.result(result);
          onEnd(1);
        },
        refuse(refusal) {
          // A call that may not be repeated is recorded under its id, so it is not started again.
          if (foundNoCapacity(refusal) && spec.repeatable) {
            onNoCapacity(refusal);
            return;
          }
          sink.refuse(refusal);
          onEnd(1);
        },
      }),
    }),
    close() {
      cancelPoll?.();
      cancelMeasurement();
    },
  };
}
