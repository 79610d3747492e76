/** Choice of a target for a call to a plain service. */
import { sample } from './sample.js';

export interface ServiceCandidate {
  node: string;
  zone: string;
  /** Calls held now, as far as is known here. */
  active: number;
  limit: number;
  /** Factor on the target's time as seen from passing traffic; 1 when healthy. */
  slowdown?: number;
}

const comparedCandidates = 2;
/** Load by which a target in another zone must be lower to be preferred. */
const otherZoneShare = 0.05;

/** Chooses the less loaded of two drawn at random; undefined when there is none. */
export function chooseService(
  candidates: readonly ServiceCandidate[],
  zone: string,
  random: () => number,
): ServiceCandidate | undefined {
  const free = candidates.filter(({ active, limit }) => active < limit);
  const cost = (c: ServiceCandidate) => ((c.active + 1) / c.limit) * (c.slowdown ?? 1)
    + (c.zone === zone ? 0 : otherZoneShare);
  return sample(free.length > 0 ? free : candidates, comparedCandidates, random)
    .reduce<ServiceCandidate | undefined>((best, c) => (
      !best || cost(c) < cost(best) ? c : best), undefined);
}
