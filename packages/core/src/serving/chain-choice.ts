/**
 * Chooses the chain of targets for a stream. Each target of a chain runs a range of the model's
 * layers; together they run all of them. The choice is a shortest-path search whose costs are the
 * compute time of the stages, their free KV cache and the network between availability zones.
 */
import { kvTokensOf } from '../placement/hosts.js';
import { chooseChain, type Chain, type ChainStage } from '../routing/chain.js';
import {
  hasRoom, layerCostMs, type RequestSize, type StageCandidate,
} from '../routing/predict.js';
import { acceleratorKindOf, type EngineModel } from './config.js';
import { groupBy } from './group-by.js';
import type { ServingTarget } from './targets.js';

export interface ChainChoiceQuery {
  engine: EngineModel;
  targets: readonly ServingTarget[];
  size: RequestSize;
  /** Availability zone of the entry that makes the choice. */
  zone: string;
  /** Estimated number of tokens in a target's KV cache now. */
  tokensAt(id: string): number;
  /** Factor by which a target is slower than predicted; 1 when healthy. */
  slowdownOf(id: string): number;
  /**
   * First layer to cover, where earlier stages are already chosen; 0 by default. The last of those
   * stages is on a target of `zone`.
   */
  fromLayer?: number;
}

const bitsPerByte = 8;
const bitsPerMsPerMbps = 1000;
/** Overhead of a stage in milliseconds per token, on top of its compute time. */
const hopMs = 0.02;
/**
 * Penalty for a first stage outside the entry's zone, in milliseconds per token; keeps the requests
 * of an entry in its own zone.
 */
const otherZonePenaltyMs = 5;
/** Prompts assumed to be queued for the link between zones ahead of a new one. */
const queuedPrompts = 4;
/**
 * Penalty for each change of zone between two stages, in milliseconds per token; keeps chains
 * inside one zone.
 */
const crossingPenaltyMs = 30;

/**
 * The target as a candidate, its layers counted from `fromLayer`; empty when it has none to run.
 */
function toCandidates(query: ChainChoiceQuery, target: ServingTarget): StageCandidate[] {
  const { engine, size, fromLayer = 0 } = query;
  const kind = acceleratorKindOf(engine, target.kind);
  const { held } = target;
  if (!kind || !held || held.hi <= Math.max(held.lo, fromLayer)) return [];
  const neededTokens = size.promptTokens + size.answerTokens;
  return [{
    node: target.id,
    zone: target.zone,
    region: '',
    lo: Math.max(0, held.lo - fromLayer),
    hi: held.hi - fromLayer,
    layerMs: (engine.stepMs * kind.stepFactor) / engine.layers,
    prefillMs: (1000 / engine.prefillTokensPerS) * (kind.readFactor / engine.layers),
    active: query.tokensAt(target.id),
    limit: Math.max(1, kvTokensOf(engine, target) - neededTokens),
    slowdown: query.slowdownOf(target.id),
  }];
}

/** Cost of sending a request's activations between two zones, in milliseconds per token. */
function zoneCrossingMs({ engine, size }: ChainChoiceQuery, from: string, to: string): number {
  const delay = engine.delays
    .find((d) => (d.from === from && d.to === to) || (d.from === to && d.to === from))?.ms ?? 0;
  if (!engine.pipeMbps) return delay + crossingPenaltyMs;
  const tokenMs = (engine.activationBytes * bitsPerByte) / (engine.pipeMbps * bitsPerMsPerMbps);
  const prompts = queuedPrompts * (size.promptTokens / size.answerTokens);
  return delay + crossingPenaltyMs + tokenMs * (1 + prompts);
}

/** Versions of the model's weights of which some target holds layers. */
const versionsOf = (targets: readonly ServingTarget[]) => [...new Set(
  targets.flatMap(({ held }) => (held ? [held.version] : [])),
)];

/** Returns the latency between two targets, computed once for each pair of zones. */
function createLinkMs(query: ChainChoiceQuery) {
  const { fromLayer = 0 } = query;
  const crossings = new Map<string, number>();

  function crossingMs(from: string, to: string): number {
    const key = `${from} ${to}`;
    const known = crossings.get(key);
    if (known !== undefined) return known;
    const computed = zoneCrossingMs(query, from, to);
    crossings.set(key, computed);
    return computed;
  }

  return (from: StageCandidate | undefined, to: StageCandidate): number => {
    if (!from && fromLayer === 0) return to.zone === query.zone ? 0 : otherZonePenaltyMs;
    const fromZone = from?.zone ?? query.zone;
    return hopMs + (fromZone === to.zone ? 0 : crossingMs(fromZone, to.zone));
  };
}

const cheaper = (a: Chain | undefined, b: Chain) => (a && a.cost <= b.cost ? a : b);
const cheapest = (chains: readonly Chain[]) => chains
  .reduce<Chain | undefined>((best, chain) => cheaper(best, chain), undefined);

/**
 * Whether no chain with a change of zone can be cheaper than `chain`: the change alone and the
 * fastest layers already cost as much.
 */
function isCheapest(
  { cost }: Chain,
  { engine, size, fromLayer = 0 }: ChainChoiceQuery,
  candidates: readonly StageCandidate[],
): boolean {
  const fastestLayerMs = candidates
    .reduce((least, candidate) => Math.min(least, layerCostMs(candidate, size)), Infinity);
  const layersMs = (engine.layers - fromLayer) * fastestLayerMs;
  return cost <= crossingPenaltyMs * size.answerTokens + layersMs;
}

/** Fewest milliseconds that all layers can take on these candidates; Infinity if one is missing. */
function fewestLayersMs(
  { engine, size, fromLayer = 0 }: ChainChoiceQuery,
  candidates: readonly StageCandidate[],
): number {
  const least = new Float64Array(engine.layers - fromLayer).fill(Infinity);
  candidates.forEach((candidate) => {
    const layerMs = layerCostMs(candidate, size);
    const end = Math.min(candidate.hi, least.length);
    for (let layer = candidate.lo; layer < end; layer += 1) {
      if (layerMs < least[layer]!) least[layer] = layerMs;
    }
  });
  return least.reduce((sum, layerMs) => sum + layerMs, 0);
}

/** Upper bound of the relative rounding error of a sum of costs. */
const roundingError = 1e-9;

/**
 * Returns the cheapest of the chains within one zone; the first zone wins among equal ones. The
 * entry's own zone is searched first, as its chain is often cheaper than any that others can have.
 */
function chooseWithinZone(
  query: ChainChoiceQuery,
  byZone: ReadonlyMap<string, readonly StageCandidate[]>,
  { linkMs, choose }: {
    linkMs: ReturnType<typeof createLinkMs>;
    choose(candidates: readonly StageCandidate[]): Chain | undefined;
  },
): Chain | undefined {
  const leastCost = (ofZone: readonly StageCandidate[]) => fewestLayersMs(query, ofZone)
    + linkMs(undefined, ofZone[0]!) * query.size.answerTokens;
  const own = byZone.get(query.zone);
  const ownChain = own && leastCost(own) < Infinity ? choose(own) : undefined;
  const limit = Math.min(Number.MAX_VALUE, (ownChain?.cost ?? Infinity) * (1 + roundingError));
  const mayBeCheaper = (ofZone: readonly StageCandidate[]) => leastCost(ofZone) <= limit;
  return cheapest([...byZone.values()].flatMap((ofZone) => {
    if (ofZone === own) return ownChain ?? [];
    return (mayBeCheaper(ofZone) ? choose(ofZone) : undefined) ?? [];
  }));
}

/** Chooses among targets that hold the same version of the weights. */
function chooseAmong(query: ChainChoiceQuery, targets: readonly ServingTarget[]) {
  const { engine, size, fromLayer = 0 } = query;
  const candidates = targets.flatMap((target) => toCandidates(query, target));
  const linkMs = createLinkMs(query);
  const choose = (some: readonly StageCandidate[]) => chooseChain({
    layers: engine.layers - fromLayer,
    candidates: some,
    size,
    linkMs,
    linkGroupOf: ({ zone }) => zone,
  });
  const free = candidates.filter(hasRoom);
  // Chains within one zone come first, as they are nearly always the cheapest and found faster.
  const best = chooseWithinZone(query, groupBy(free, ({ zone }) => zone), { linkMs, choose });
  return best && isCheapest(best, query, free) ? best : choose(candidates);
}

/**
 * Returns the cheapest chain that covers the layers from `fromLayer` on. All its targets hold the
 * same version of the weights. Returns undefined when no version covers these layers.
 */
export function chooseServingChain(query: ChainChoiceQuery): ChainStage[] | undefined {
  const { targets, fromLayer = 0 } = query;
  const chains = versionsOf(targets).flatMap((version) => (
    chooseAmong(query, targets.filter(({ held }) => held?.version === version)) ?? []));
  return cheapest(chains)?.stages
    .map(({ node, lo, hi }) => ({ node, lo: lo + fromLayer, hi: hi + fromLayer }));
}
