/** Chooses the targets of an attempt, and counts this entry's requests in flight at each target. */
import {
  chooseService, chooseServingChain, createTargetHealth, kvTokensOf,
  type ChainStage, type Clock, type ServingService, type ServingTarget, type TargetPauses,
  type TargetRateLimits, type TargetTable,
} from '@verbenashunt/core';
import type { FailingTargets, TargetLoads } from '../generated/relay.js';
import type { OtherLoads } from '../load/load-member.js';
import type { ChainPart } from '../ports.js';
import type { RequestSpec } from '../requests/spec.js';
import type { LoadMonitor } from './load-monitor.js';

/** The targets chosen for an attempt. */
export interface Choice {
  /** Target that the request is sent to. */
  target: ServingTarget;
  /** All targets that run a part of the request, the first one included. */
  parts: readonly ServingTarget[];
  /** Address and layers of each target; undefined for a service without engines. */
  chain: readonly ChainPart[] | undefined;
}

export interface SelectorDeps {
  clock: Clock;
  random: () => number;
  zone: string;
  targets: TargetTable;
  pauses: TargetPauses;
  rateLimits: Pick<TargetRateLimits, 'heldMs'>;
  /**
   * Number of entries; without their loads, each is assumed to send as many requests as this one.
   */
  entryCount(): number;
  /** Loads of the other entries; undefined if entries exchange none. */
  otherLoads?(): OtherLoads | undefined;
  /** A function, since the monitor itself needs the selector's `ownTokens` and is created later. */
  loadMonitor(): Pick<LoadMonitor, 'tokensAt' | 'slowdownOf' | 'mayBeFull' | 'isDead' | 'pollSoon'>;
}

/** Concurrent requests assumed for a target without engine that states no number of slots. */
const defaultSlots = 8;

export function createSelector(deps: SelectorDeps) {
  const {
    clock, targets, pauses, rateLimits, zone,
  } = deps;
  const health = createTargetHealth(clock);
  /** This entry's requests in flight, by target id. */
  const requestsInFlight = new Map<string, number>();
  /** Tokens of this entry's requests in flight, by target id. */
  const tokensInFlight = new Map<string, number>();

  const addTo = (counts: Map<string, number>, id: string, change: number) => {
    const count = (counts.get(id) ?? 0) + change;
    if (count > 0) counts.set(id, count);
    else counts.delete(id);
  };

  const servingTargets = (service: string) => targets.ofService(service)
    .filter(({ draining }) => !draining);

  /** Whether requests are sent to the target itself, not only to others that pass them on to it. */
  const isFirstStage = ({ held }: ServingTarget) => held === undefined || held.lo === 0;

  /** Milliseconds until the target accepts a request that is sent to it; 0 if it does now. */
  const closedMs = (target: ServingTarget) => Math
    .max(pauses.remainingMs(target), isFirstStage(target) ? rateLimits.heldMs(target) : 0);

  const availableTargets = (service: string, avoid: ReadonlySet<string>) => servingTargets(service)
    .filter((target) => !avoid.has(target.id) && closedMs(target) === 0);

  const isFailingElsewhere = ({ id }: ServingTarget) => (
    deps.otherLoads?.()?.isFailingElsewhere(id) ?? false);

  /**
   * Available targets that no entry found failing; if there is none, those that this entry did not
   * find failing, or else all available ones.
   */
  function preferredTargets(service: string, avoid: ReadonlySet<string>): ServingTarget[] {
    const ready = availableTargets(service, avoid);
    const healthy = ready.filter(({ id }) => !health.isSuspect(id));
    const healthyForAll = healthy.filter((target) => !isFailingElsewhere(target));
    return [healthyForAll, healthy, ready].find(({ length }) => length > 0) ?? [];
  }

  /** Requests of all entries in flight at a target. */
  function requestsAt(id: string): number {
    const own = requestsInFlight.get(id) ?? 0;
    const others = deps.otherLoads?.()?.requestsAt(id);
    return others === undefined ? own * deps.entryCount() : own + others;
  }

  function chooseSingleTarget(spec: RequestSpec, avoid: ReadonlySet<string>): Choice | undefined {
    const candidates = preferredTargets(spec.service.name, avoid).map((target) => ({
      node: target.id,
      zone: target.zone,
      active: requestsAt(target.id),
      limit: target.slots || defaultSlots,
    }));
    const node = chooseService(candidates, zone, deps.random)?.node;
    const target = node === undefined ? undefined : targets.byId(node);
    return target && { target, parts: [target], chain: undefined };
  }

  function toChoice(stages: readonly ChainStage[]): Choice {
    const parts = stages.map(({ node }) => targets.byId(node)!);
    const chain = stages.map(({ lo, hi }, i) => ({ address: parts[i]!.address, lo, hi }));
    return { target: parts[0]!, parts, chain };
  }

  /**
   * Stages for the layers from `fromLayer` on, for a sender in `fromZone`. Includes targets that
   * other entries found failing, and then suspect and dead ones, only if there is no chain without
   * them.
   */
  function chooseStages(
    spec: RequestSpec,
    avoid: ReadonlySet<string>,
    fromLayer: number,
    fromZone: string,
  ): ChainStage[] | undefined {
    const ready = availableTargets(spec.service.name, avoid);
    const query = {
      engine: spec.service.engine!,
      size: spec.size,
      zone: fromZone,
      tokensAt: deps.loadMonitor().tokensAt,
      slowdownOf: deps.loadMonitor().slowdownOf,
      fromLayer,
    };
    const healthy = ready
      .filter(({ id }) => !health.isSuspect(id) && !deps.loadMonitor().isDead(id));
    const healthyForAll = healthy.filter((target) => !isFailingElsewhere(target));
    const preferred = healthyForAll.length < healthy.length
      ? chooseServingChain({ ...query, targets: healthyForAll })
      : undefined;
    return preferred
      ?? chooseServingChain({ ...query, targets: healthy })
      ?? chooseServingChain({ ...query, targets: ready });
  }

  function chooseChain(spec: RequestSpec, avoid: ReadonlySet<string>): Choice | undefined {
    const stages = chooseStages(spec, avoid, 0, zone);
    return stages && toChoice(stages);
  }

  /** Keeps the first stage of a choice and chooses the others again; undefined if that fails. */
  function reroute(
    spec: RequestSpec,
    { target, chain }: Choice,
    avoid: ReadonlySet<string>,
  ): Choice | undefined {
    const [first] = chain ?? [];
    if (!first || closedMs(target) > 0) return undefined;
    const { lo, hi } = first;
    const rest = chooseStages(spec, new Set([...avoid, target.id]), hi, target.zone);
    return rest && toChoice([{ node: target.id, lo, hi }, ...rest]);
  }

  return {
    health,
    choose: (spec: RequestSpec, avoid: ReadonlySet<string>): Choice | undefined => (
      spec.service.engine ? chooseChain(spec, avoid) : chooseSingleTarget(spec, avoid)),
    reroute,
    /**
     * Milliseconds until the first target of a service accepts requests again, if all of them want
     * a pause or are at their limit; else 0.
     */
    allClosedMs(service: string): number {
      const waitsMs = servingTargets(service).filter(isFirstStage).map(closedMs);
      return waitsMs.length > 0 ? Math.min(...waitsMs) : 0;
    },
    /** Whether every target of a choice has enough free KV memory for the request. */
    hasFreeKvMemory: ({ service: { engine }, size }: RequestSpec, { parts }: Choice) => parts
      .every((part) => engine !== undefined
        && deps.loadMonitor().tokensAt(part.id) + size.promptTokens + size.answerTokens
          < kvTokensOf(engine, part)),
    /** Ids of the targets to which requests to a service with engines may be sent. */
    firstTargetIds: (service: string): string[] => servingTargets(service).filter(isFirstStage)
      .map(({ id }) => id),
    /**
     * Whether this entry's own requests use all slots of all available targets of a service without
     * engines; false if any target does not state its number of slots.
     */
    areSlotsInUse(service: string): boolean {
      const available = availableTargets(service, new Set());
      return available.length > 0 && available
        .every(({ id, slots }) => slots > 0 && (requestsInFlight.get(id) ?? 0) >= slots);
    },
    /** Returns a target of a choice that is draining or no longer listed, if there is one. */
    findDraining: ({ parts }: Choice) => parts
      .find(({ id }) => targets.byId(id)?.draining ?? true),
    isInSingleZone: ({ target, parts }: Choice) => parts.every((part) => part.zone === target.zone),
    /** Counts an attempt as in flight; returns a function that undoes it, at most once. */
    countInFlight({ parts }: Choice, { size }: RequestSpec): () => void {
      const cost = size.promptTokens + size.answerTokens;
      let isCounted = true;
      parts.forEach(({ id }) => {
        addTo(requestsInFlight, id, 1);
        addTo(tokensInFlight, id, cost);
      });
      return () => {
        if (!isCounted) return;
        isCounted = false;
        parts.forEach(({ id }) => {
          addTo(requestsInFlight, id, -1);
          addTo(tokensInFlight, id, -cost);
        });
      };
    },
    /** The target of a service at an address; undefined if none is known there. */
    targetAt: (service: ServingService, address: string) => targets.ofService(service.name)
      .find((target) => target.address === address),
    /** Records that a request found the target dead or unreachable. */
    recordFailure(id: string) {
      health.recordFailure(id);
      deps.loadMonitor().pollSoon(id);
    },
    /** Records that the target accepted a request and gave no valid answer. */
    recordError: health.recordError,
    /** Records a refused or failed request; `isBlamed` says that the answer names the target. */
    recordRefusal(id: string, isBlamed: boolean) {
      // A refusal despite free memory: the target is stopping, or holds other layers than listed.
      if (isBlamed && !deps.loadMonitor().mayBeFull(id)) health.recordFailure(id);
      else health.recordRefusal(id);
      if (isBlamed) deps.loadMonitor().pollSoon(id);
    },
    /** Tokens of this entry's requests in flight at a target. */
    ownTokens: (id: string) => tokensInFlight.get(id) ?? 0,
    /** This entry's requests and tokens in flight, for the other entries. */
    inFlight: (): TargetLoads => Object.fromEntries([...requestsInFlight]
      .map(([id, requests]) => [id, [requests, tokensInFlight.get(id) ?? 0]])),
    /** Targets that this entry found failing, for the other entries. */
    failing: (): FailingTargets => Object.fromEntries(targets.all
      .map(({ id }) => [id, Math.round(health.suspectMs(id))] as const)
      .filter(([, ms]) => ms > 0)),
  };
}

export type Selector = ReturnType<typeof createSelector>;
