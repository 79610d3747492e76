/** Starts requests with what they share at one entry; keeps them registered until they close. */
import type { Clock } from '@verbenashunt/core';
import type { AgentPeers } from '../peers/agents.js';
import type { Routing } from '../routing/routing.js';
import type { CallRecords } from './call-records.js';
import type { Fences } from './fences.js';
import { createGeneration, type GenerationSink, type GenerationSpec } from './generation.js';
import type { Quarantine } from './quarantine.js';
import type { RequestInfo, RequestRegistry, RequestRun } from './registry.js';
import type { RetryBudget } from './retries.js';
import {
  createServiceCall, type ServiceCallSink, type ServiceCallSpec,
} from './service-call.js';

export interface StarterDeps {
  clock: Clock;
  random: () => number;
  /** Name of the entry. */
  entry: string;
  revision(): number;
  retries: RetryBudget;
  fences: Fences;
  records: CallRecords;
  registry: RequestRegistry;
  peers: AgentPeers;
  routing: Routing;
  quarantine: Quarantine;
}

export interface RequestStarter {
  startGeneration(spec: GenerationSpec, sink: GenerationSink): RequestRun;
  startCall(
    spec: ServiceCallSpec,
    targets: readonly string[],
    sink: ServiceCallSink,
  ): RequestRun;
}

export function createRequestStarter(deps: StarterDeps): RequestStarter {
  const {
    clock, random, entry, revision, retries, fences, records, registry, peers, routing, quarantine,
  } = deps;

  const shared = {
    clock,
    random,
    retries,
    entry,
    revision,
    agent: peers.get,
    fence(node: string, req: string, attempt: number) {
      fences.send(node, { t: 'cancel', req, attempt }, peers.get(node)?.send);
    },
  };

  /** Creates a run and registers it unless it closed while it was created. */
  function register(info: RequestInfo, create: (closed: () => void) => RequestRun): RequestRun {
    let closed = false;
    const run = create(() => {
      closed = true;
      registry.remove(info.req);
    });
    if (!closed) registry.add(info, run);
    return run;
  }

  return {
    startGeneration(spec, sink) {
      const {
        req, org, cls, model,
      } = spec;
      quarantine.begin(spec);
      const info = {
        req, org, cls, model,
      };
      return register(info, (closed) => createGeneration(spec, sink, {
        ...shared,
        choose: quarantine.chain(routing.chooseChain),
        replace: quarantine.stage(routing.chooseStage),
        crashed: (_, __, alone) => quarantine.crashed(spec, alone),
        isSuspect: quarantine.isSuspect,
        placed: quarantine.placed,
        isApart: quarantine.isApart(routing.chooseChain),
        closed() {
          quarantine.end(req);
          closed();
        },
      }));
    },
    startCall(spec, targets, sink) {
      const { req, org, cls } = spec;
      return register({ req, org, cls }, (closed) => createServiceCall(spec, sink, {
        ...shared,
        closed,
        records,
        follow: (other) => registry.follow(other, req),
        choose: (avoid) => routing.chooseTarget(targets, avoid),
      }));
    },
  };
}
