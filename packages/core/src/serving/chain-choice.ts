/**
 * Choice of the chain of targets for a stream: the shortest path over the layers that targets hold,
 * by the time of its stages, the KV memory that they have left and the pipe between zones.
 */
import { kvTokensOf } from '../placement/hosts.js';
import { chooseChain, type ChainStage } from '../routing/chain.js';
import type { RequestSize, StageCandidate } from '../routing/predict.js';
import { kindOf, type EngineModel } from './config.js';
import type { ServingTarget } from './targets.js';

export interface ChainChoiceQuery {
  engine: EngineModel;
  targets: readonly ServingTarget[];
  size: RequestSize;
  /** Zone of the entry. */
  zone: string;
  /** Tokens of requests that are thought to be in a target's KV cache now. */
  tokensAt(id: string): number;
  /** Factor on a target's time; 1 when healthy. */
  slowdownOf(id: string): number;
  /** Stages before these layers stand already; the last of them is at a target of `zone`. */
  fromLayer?: number;
}

const bitsPerByte = 8;
const bitsPerMbitMs = 1000;
/** Milliseconds that a stage adds to each token beside its own work. */
const hopMs = 0.02;
/** Cost of a first stage outside the entry's zone in milliseconds a token; keeps zones apart. */
const otherZoneMs = 5;
/** Prompts that are thought to wait for the pipe before one more. */
const pipeCrowding = 4;
/** Cost of the first way into another zone in milliseconds a token; keeps chains inside one. */
const crossingBaseMs = 30;

function toCandidate(query: ChainChoiceQuery, target: ServingTarget): StageCandidate[] {
  const { engine, size, fromLayer = 0 } = query;
  const kind = kindOf(engine, target.kind);
  const { held } = target;
  if (!kind || !held || held.hi <= Math.max(held.lo, fromLayer)) return [];
  const need = size.promptTokens + size.answerTokens;
  return [{
    node: target.id,
    zone: target.zone,
    region: '',
    lo: Math.max(0, held.lo - fromLayer),
    hi: held.hi - fromLayer,
    layerMs: (engine.stepMs * kind.stepFactor) / engine.layers,
    prefillMs: (1000 / engine.readTokensPerS) * (kind.readFactor / engine.layers),
    active: query.tokensAt(target.id),
    limit: Math.max(1, kvTokensOf(engine, target) - need),
    slowdown: query.slowdownOf(target.id),
  }];
}

/** Milliseconds a token that a request spends on the way between two zones. */
function crossingMs({ engine, size }: ChainChoiceQuery, from: string, to: string): number {
  const delay = engine.delays
    .find((d) => (d.from === from && d.to === to) || (d.from === to && d.to === from))?.ms ?? 0;
  if (!engine.pipeMbps) return delay + crossingBaseMs;
  const tokenMs = (engine.activationBytes * bitsPerByte) / (engine.pipeMbps * bitsPerMbitMs);
  const prompts = pipeCrowding * (size.promptTokens / size.answerTokens);
  return delay + crossingBaseMs + tokenMs * (1 + prompts);
}

/** Versions of the weights of which some target holds layers. */
const versionsOf = (targets: readonly ServingTarget[]) => [...new Set(
  targets.flatMap(({ held }) => (held ? [held.version] : [])),
)];

/**
 * The cheapest chain of one version of the weights over the layers from `fromLayer` on; undefined
 * when none covers them.
 */
export function chooseServingChain(query: ChainChoiceQuery): ChainStage[] | undefined {
  const {
    engine, targets, size, fromLayer = 0,
  } = query;
  const chains = versionsOf(targets).flatMap((version) => chooseChain({
    layers: engine.layers - fromLayer,
    candidates: targets.filter(({ held }) => held?.version === version)
      .flatMap((target) => toCandidate(query, target)),
    size,
    linkMs: (from, to) => {
      if (!from && fromLayer === 0) return to.zone === query.zone ? 0 : otherZoneMs;
      const fromZone = from?.zone ?? query.zone;
      return hopMs + (fromZone === to.zone ? 0 : crossingMs(query, fromZone, to.zone));
    },
  }) ?? []);
  return chains.sort((a, b) => a.cost - b.cost)[0]?.stages
    .map(({ node, lo, hi }) => ({ node, lo: lo + fromLayer, hi: hi + fromLayer }));
}
