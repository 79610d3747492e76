/** Starts requests with their shared dependencies, and registers them until they close. */
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
  /** Node name of the entry. */
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

  const sharedDeps = {
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

  /** Creates a request and registers it, unless it closed during its creation. */
  function register(info: RequestInfo, create: (onClosed: () => void) => RequestRun): RequestRun {
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
      quarantine.track(spec);
      const info = {
        req, org, cls, model,
      };
      return register(info, (onClosed) => createGeneration(spec, sink, {
        ...sharedDeps,
        chooseChain: quarantine.isolateChainChoice(routing.chooseChain),
        chooseReplacement: quarantine.isolateStageChoice(routing.chooseStage),
        recordCrash: quarantine.recordCrash,
        recordBegun: quarantine.recordBegun,
        isSuspect: quarantine.isSuspect,
        recordNodes: quarantine.recordNodes,
        isUnblockedBySuspects: quarantine.isUnblockedBySuspects(routing.chooseChain),
        onClosed() {
          quarantine.untrack(req);
          onClosed();
        },
      }));
    },
    startCall(spec, targets, sink) {
      const { req, org, cls } = spec;
      return register({ req, org, cls }, (onClosed) => createServiceCall(spec, sink, {
        ...sharedDeps,
        onClosed,
        records,
        subscribe: (other) => registry.subscribe(other, req),
        chooseAgent: (avoid) => routing.chooseTarget(targets, avoid),
      }));
    },
  };
}
