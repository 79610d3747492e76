/** Chooses where an attempt goes, and keeps what this entry has in flight at each target. */
import {
  chooseService, chooseServingChain, createTargetHealth, kvTokensOf,
  type ChainStage, type Clock, type ServingService, type ServingTarget, type TargetTable,
} from '@verbenashunt/core';
import type { ChainPart } from '../ports.js';
import type { RequestSpec } from '../requests/spec.js';
import type { LoadMonitor } from './load-monitor.js';

/** Where an attempt goes. */
export interface Choice {
  /** Target that the request is sent to. */
  target: ServingTarget;
  /** All targets that take part. */
  parts: readonly ServingTarget[];
  chain: readonly ChainPart[] | undefined;
}

export interface SelectorDeps {
  clock: Clock;
  random: () => number;
  zone: string;
  targets: TargetTable;
  /** Entries that are thought to send work as this one does. */
  entryCount(): number;
  /** Load of engines; set once it is created, as it asks for this entry's own share. */
  loadMonitor(): Pick<LoadMonitor, 'tokensAt' | 'slowdownOf' | 'mayBeFull' | 'isDead' | 'pollSoon'>;
}

/** Requests that a plain service is taken to run at once where it doesn't say. */
const defaultSlots = 8;

export function createSelector(deps: SelectorDeps) {
  const { clock, targets, zone } = deps;
  const health = createTargetHealth(clock);
  /** Requests in flight from here, by target. */
  const requestsInFlight = new Map<string, number>();
  /** Tokens of requests in flight from here, by target. */
  const tokensInFlight = new Map<string, number>();

  const addTo = (counts: Map<string, number>, id: string, change: number) => {
    const count = (counts.get(id) ?? 0) + change;
    if (count > 0) counts.set(id, count);
    else counts.delete(id);
  };

  const availableTargets = (service: string, avoid: ReadonlySet<string>) => targets
    .ofService(service)
    .filter(({ id, draining }) => !draining && !avoid.has(id));

  /** Usable targets, without suspects as long as others are left. */
  function preferredTargets(service: string, avoid: ReadonlySet<string>): ServingTarget[] {
    const ready = availableTargets(service, avoid);
    const sound = ready.filter(({ id }) => !health.isSuspect(id));
    return sound.length > 0 ? sound : ready;
  }

  function chooseSingleTarget(spec: RequestSpec, avoid: ReadonlySet<string>): Choice | undefined {
    const candidates = preferredTargets(spec.service.name, avoid).map((target) => ({
      node: target.id,
      zone: target.zone,
      active: (requestsInFlight.get(target.id) ?? 0) * deps.entryCount(),
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

  /** Stages over the layers from `fromLayer` on, after one in `fromZone`. */
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
    const sound = ready.filter(({ id }) => !health.isSuspect(id) && !deps.loadMonitor().isDead(id));
    return chooseServingChain({ ...query, targets: sound })
      ?? chooseServingChain({ ...query, targets: ready });
  }

  function chooseChain(spec: RequestSpec, avoid: ReadonlySet<string>): Choice | undefined {
    const stages = chooseStages(spec, avoid, 0, zone);
    return stages && toChoice(stages);
  }

  /** Another way on from the first stage of a choice; undefined when there is none. */
  function reroute(
    spec: RequestSpec,
    { target, chain }: Choice,
    avoid: ReadonlySet<string>,
  ): Choice | undefined {
    const [first] = chain ?? [];
    if (!first) return undefined;
    const { lo, hi } = first;
    const rest = chooseStages(spec, new Set([...avoid, target.id]), hi, target.zone);
    return rest && toChoice([{ node: target.id, lo, hi }, ...rest]);
  }

  return {
    health,
    choose: (spec: RequestSpec, avoid: ReadonlySet<string>): Choice | undefined => (
      spec.service.engine ? chooseChain(spec, avoid) : chooseSingleTarget(spec, avoid)),
    reroute,
    /** Whether every target of a choice has KV memory left for a request. */
    hasRoom: ({ service: { engine }, size }: RequestSpec, { parts }: Choice) => parts
      .every((part) => engine !== undefined
        && deps.loadMonitor().tokensAt(part.id) + size.promptTokens + size.answerTokens
          < kvTokensOf(engine, part)),
    /** A target of a choice that leaves or is no longer listed; undefined when all stay. */
    findLeaving: ({ parts }: Choice) => parts
      .find(({ id }) => targets.byId(id)?.draining ?? true),
    /** Whether a chain of a choice stays inside the zone of its first target. */
    isInZone: ({ target, parts }: Choice) => parts.every((part) => part.zone === target.zone),
    /** Counts an attempt in flight; returns the function that ends the count, once. */
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
    /** The target at an address, where it is known. */
    targetAt: (service: ServingService, address: string) => targets.ofService(service.name)
      .find((target) => target.address === address),
    /** The target is dead or can't be reached, as a request found. */
    recordFailure(id: string) {
      health.recordFailure(id);
      deps.loadMonitor().pollSoon(id);
    },
    /** A target took a request and gave no proper answer. */
    recordError: health.recordError,
    /** A request was not run or not answered for a reason that lies at the target. */
    recordRefusal(id: string, isBlamed: boolean) {
      // One that refuses with memory to spare is leaving, or holds other layers than known.
      if (isBlamed && !deps.loadMonitor().mayBeFull(id)) health.recordFailure(id);
      else health.recordRefusal(id);
      if (isBlamed) deps.loadMonitor().pollSoon(id);
    },
    /** Tokens of this entry's requests at a target. */
    ownTokens: (id: string) => tokensInFlight.get(id) ?? 0,
  };
}

export type Selector = ReturnType<typeof createSelector>;
