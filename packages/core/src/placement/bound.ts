/**
 * Upper bound on the throughput of a fleet under any placement and routing, computed from the dual
 * of a relaxation that only constrains the time and memory of each target. The proof is in
 * docs/design/bound.md.
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
const priceSteps = 200;

/**
 * Largest value in [0, high] that satisfies `holds`, approached from above by bisection; 0 must
 * satisfy it.
 */
export function bisect(high: number, holds: (value: number) => boolean): number {
  const range = Array.from({ length: bisectionSteps }).reduce<[number, number]>(([lo, hi]) => {
    const middle = (lo + hi) / 2;
    return holds(middle) ? [middle, hi] : [lo, middle];
  }, [0, high]);
  return range[1];
}

/** Highest value, at given layer prices, of the work that a target can do at a request rate. */
function targetValue(
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

/** Bound for given layer prices, one for each model; any positive prices give a valid bound. */
function boundAt({ targets, models }: Fleet, prices: readonly number[]): number {
  const demand = models.reduce((sum, m, k) => sum + m.share * m.layers * prices[k]!, 0);
  const supply = (rate: number) => targets
    .reduce((sum, target) => sum + targetValue(target, models, prices, rate), 0);
  const high = supply(Number.MAX_VALUE) / demand;
  return bisect(high, (rate) => supply(rate) >= rate * demand);
}

/** Raises the prices of models that are undersupplied at these prices and lowers the others. */
function adjustPrices(
  { targets, models }: Fleet,
  prices: readonly number[],
  step: number,
): number[] {
  const supplied = models.map(() => 0);
  targets.forEach((target) => {
    const values = models.map((model, k) => layerRate(target, model) * prices[k]!);
    const best = values.indexOf(Math.max(...values));
    supplied[best] = supplied[best]! + layerRate(target, models[best]!);
  });
  const demand = models.map((model) => model.share * model.layers);
  const ratio = models.map((_, k) => supplied[k]! / demand[k]!);
  const mean = ratio.reduce((sum, r) => sum + r, 0) / ratio.length;
  return prices.map((price, k) => price * Math.exp(step * Math.sign(mean - ratio[k]!)));
}

/** Computes the bound; with several models, searches for the prices that minimise it. */
export function throughputBound(fleet: Fleet): ThroughputBound {
  const { models } = fleet;
  const start = models.map(() => 1);
  const steps = models.length === 1 ? 0 : priceSteps;
  const { best } = Array.from({ length: steps }).reduce<{ best: number; prices: number[] }>(
    ({ best: lowest, prices }, _, i) => {
      const next = adjustPrices(fleet, prices, 0.5 / (1 + i / 10));
      return { best: Math.min(lowest, boundAt(fleet, next)), prices: next };
    },
    { best: boundAt(fleet, start), prices: start },
  );
  const answer = models.reduce((sum, { share, answerTokens }) => sum + share * answerTokens, 0);
  return { requestsPerSecond: best, tokensPerSecond: best * answer };
}
