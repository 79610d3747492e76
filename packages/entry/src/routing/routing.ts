/** Chooses targets for requests by the state of the agents that this entry is connected to. */
import {
  chooseChain, chooseService, chooseStage, createSlownessTracker, draftClass, hasFreeChain,
  limitConcurrency,
  type Chain, type Clock, type RequestSize, type StageCandidate,
} from '@verbenashunt/core';
import type { LayerRange } from '@verbenashunt/schema';
import type { AgentPeer, AgentPeers } from '../peers/agents.js';
import type { GenerationSpec } from '../requests/generation-spec.js';

/** Assumed milliseconds that a message takes between two nodes. */
const sameZoneLinkMs = 0.1;
const otherZoneLinkMs = 0.25;
const otherRegionLinkMs = 25;

/** Location of a node. */
interface Place {
  zone: string;
  region: string;
}

export interface Routing {
  /** Chooses targets for all layers of the model without the nodes in `avoid`. */
  chooseChain(spec: GenerationSpec, avoid: ReadonlySet<string>): Chain | undefined;
  /** Chooses a node for one range of layers. */
  chooseStage(
    spec: GenerationSpec,
    range: LayerRange,
    avoid: ReadonlySet<string>,
  ): string | undefined;
  /** Chooses an agent of one of the targets for a call to a service. */
  chooseTarget(targets: readonly string[], avoid: ReadonlySet<string>): AgentPeer | undefined;
  /**
   * Whether a generation should start now: a chain has capacity, or there is no chain even without
   * load, so that waiting would not help.
   */
  canStartGeneration(spec: GenerationSpec): boolean;
  /**
   * Records the end of a generation and its mean time between tokens, which is undefined if it was
   * not measured.
   */
  recordEnd(req: string, msPerToken: number | undefined): void;
  /** Whether a call should start now: an available target has capacity, or none is available. */
  canStartCall(targets: readonly string[]): boolean;
}

export interface RoutingDeps {
  clock: Clock;
  /** Location of this entry. */
  place: Place;
  peers: AgentPeers;
  random: () => number;
}

function linkMs(from: Place, to: Place) {
  if (from.region !== to.region) return otherRegionLinkMs;
  return from.zone === to.zone ? sameZoneLinkMs : otherZoneLinkMs;
}

const sizeOf = ({ prompt, maxTokens }: GenerationSpec): RequestSize => ({
  promptTokens: prompt.length, answerTokens: maxTokens,
});

/**
 * Overhead of the entry in milliseconds, added to each predicted time per token. Without it, the
 * ratio of measured to predicted time would be too high where the prediction is very small.
 */
const tokenOverheadMs = 0.5;

interface ChosenChain {
  nodes: string[];
  /** Predicted milliseconds per token. */
  tokenMs: number;
}

export function createRouting({
  clock, place, peers, random,
}: RoutingDeps): Routing {
  const slowness = createSlownessTracker({ now: () => clock.now() });
  const chains = new Map<string, ChosenChain>();

  /** Candidates for the model, each with the concurrency limit of the request's class. */
  function candidatesFor({
    model, version, layers, cls,
  }: GenerationSpec): StageCandidate[] {
    const candidates = limitConcurrency(peers.candidates(model, version), layers)
      .map((candidate) => ({ ...candidate, slowdown: slowness.slowdownOf(candidate.node) }));
    if (cls !== draftClass.name) return candidates;
    return candidates.map((candidate) => ({
      ...candidate, limit: Math.max(1, Math.floor(candidate.limit * draftClass.concurrencyShare)),
    }));
  }

  const serviceCandidates = (
    targets: readonly string[],
    avoid?: ReadonlySet<string>,
  ) => peers.available()
    .filter(({ node, state }) => targets.includes(state.target) && !avoid?.has(node))
    .map(({
      node, zone, own, state,
    }) => ({
      node, zone, active: Math.max(own, state.load.active), limit: state.load.limit,
    }));

  return {
    chooseChain(spec, avoid) {
      const chain = chooseChain({
        layers: spec.layers,
        candidates: candidatesFor(spec).filter(({ node }) => !avoid.has(node)),
        linkMs: (from, to) => linkMs(from ?? place, to),
        size: sizeOf(spec),
        random,
      });
      if (chain) {
        chains.set(spec.req, {
          nodes: chain.stages.map(({ node }) => node),
          tokenMs: tokenOverheadMs + chain.cost / spec.maxTokens,
        });
      }
      return chain;
    },
    recordEnd(req, msPerToken) {
      const chain = chains.get(req);
      chains.delete(req);
      if (chain && msPerToken !== undefined) {
        slowness.observe(chain.nodes, msPerToken / chain.tokenMs);
      }
    },
    chooseStage: (spec, range, avoid) => chooseStage(
      candidatesFor(spec).filter(({ node }) => !avoid.has(node)),
      range,
    ),
    chooseTarget(targets, avoid) {
      const chosen = chooseService(serviceCandidates(targets, avoid), place.zone, random);
      return chosen && peers.get(chosen.node);
    },
    canStartGeneration(spec) {
      const candidates = candidatesFor(spec);
      const unloaded = candidates.map((candidate) => ({ ...candidate, active: 0 }));
      return hasFreeChain(spec.layers, candidates) || !hasFreeChain(spec.layers, unloaded);
    },
    canStartCall(targets) {
      const services = serviceCandidates(targets);
      return services.length === 0 || services.some(({ active, limit }) => active < limit);
    },
  };
}
