/**
 * Upper bound on the throughput of a fleet over every placement and routing: the dual of a
 * relaxation that keeps only the time and memory of each target. Proof in docs/design/bound.md.
 */
import {
  fittingLayers, layerRate, type Fleet, type FleetModel, type FleetTarget,
} from './fleet.js';

export interface ThroughputBound {
  requestsPerSecond: number;
  /** Generated tokens per second. */
  tokensPerSecond: number;
}

const bisectionSteps = 60;
const multiplierSteps = 200;

/** Largest value in [0, high] for which the check holds, which must hold at 0. */
export function bisect(high: number, holds: (value: number) => boolean): number {
  const range = Array.from({ length: bisectionSteps }).reduce<[number, number]>(([lo, hi]) => {
    const middle = (lo + hi) / 2;
    return holds(middle) ? [middle, hi] : [lo, middle];
  }, [0, high]);
  return range[1];
}

/** Worth of a target's time and memory at a request rate and a price for each model's layers. */
function targetWorth(
  target: FleetTarget,
  models: readonly FleetModel[],
  prices: readonly number[],
  rate: number,
) {
  return Math.max(...models.map((model, k) => {
    const byMemory = fittingLayers(target, model) * model.share * rate;
    const byTime = layerRate(target, model);
    return (models.length === 1 ? Math.min(byMemory, byTime) : byTime) * prices[k]!;
  }));
}

/** Bound for given prices; every choice of positive prices gives a valid bound. */
function boundAt({ targets, models }: Fleet, prices: readonly number[]): number {
  const demand = models.reduce((sum, m, k) => sum + m.share * m.layers * prices[k]!, 0);
  const supply = (rate: number) => targets
    .reduce((sum, target) => sum + targetWorth(target, models, prices, rate), 0);
  const high = supply(Number.MAX_VALUE) / demand;
  return bisect(high, (rate) => supply(rate) >= rate * demand);
}

/** Moves prices towards the models whose layers are short of targets at these prices. */
function reprice({ targets, models }: Fleet, prices: readonly number[], step: number): number[] {
  const supplied = models.map(() => 0);
  targets.forEach((target) => {
    const worth = models.map((model, k) => layerRate(target, model) * prices[k]!);
    const best = worth.indexOf(Math.max(...worth));
    supplied[best] = supplied[best]! + layerRate(target, models[best]!);
  });
  const wanted = models.map((model) => model.share * model.layers);
  const ratio = models.map((_, k) => supplied[k]! / wanted[k]!);
  const mean = ratio.reduce((sum, r) => sum + r, 0) / ratio.length;
  return prices.map((price, k) => price * Math.exp(step * Math.sign(mean - ratio[k]!)));
}

/** Computes the bound; for several models it searches for the prices that make it lowest. */
export function throughputBound(fleet: Fleet): ThroughputBound {
  const { models } = fleet;
  const start = models.map(() => 1);
  const steps = models.length === 1 ? 0 : multiplierSteps;
  const { best } = Array.from({ length: steps }).reduce<{ best: number; prices: number[] }>(
    ({ best: lowest, prices }, _, i) => {
      const next = reprice(fleet, prices, 0.5 / (1 + i / 10));
      return { best: Math.min(lowest, boundAt(fleet, next)), prices: next };
    },
    { best: boundAt(fleet, start), prices: start },
  );
  const answer = models.reduce((sum, { share, answerTokens }) => sum + share * answerTokens, 0);
  return { requestsPerSecond: best, tokensPerSecond: best * answer };
}
