/** Chooses a target for a call to a plain service, whose targets hold no layers of a model. */
import { sample } from './sample.js';

export interface ServiceCandidate {
  /** Id of the target. */
  node: string;
  zone: string;
  /** Calls in flight now, as known here. */
  active: number;
  limit: number;
  /** Factor by which the target is slower than predicted, seen in live traffic; 1 when healthy. */
  slowdown?: number;
}

const comparedCandidates = 2;
/** Margin by which the load of a target in another zone must be lower for it to be preferred. */
const otherZonePenalty = 0.05;

/**
 * Chooses the less loaded of two random candidates, preferably below their limits; undefined when
 * there are no candidates.
 */
export function chooseService(
  candidates: readonly ServiceCandidate[],
  zone: string,
  random: () => number,
): ServiceCandidate | undefined {
  const free = candidates.filter(({ active, limit }) => active < limit);
  const cost = (c: ServiceCandidate) => ((c.active + 1) / c.limit) * (c.slowdown ?? 1)
    + (c.zone === zone ? 0 : otherZonePenalty);
  return sample(free.length > 0 ? free : candidates, comparedCandidates, random)
    .reduce<ServiceCandidate | undefined>((best, c) => (
      !best || cost(c) < cost(best) ? c : best), undefined);
}
