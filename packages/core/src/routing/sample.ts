/**
 * Bounded random subsets of candidates. Entries that hold the same stale view would all choose
 * the same target; choosing among a few drawn at random keeps them apart (Mitzenmacher, "The
 * power of two choices in randomized load balancing").
 */

/** Draws up to `count` different items. */
export function sample<T>(items: readonly T[], count: number, random: () => number): T[] {
  if (items.length <= count) return [...items];
  const pool = [...items];
  return Array.from({ length: count }, (_, i) => {
    const j = i + Math.floor(random() * (pool.length - i));
    const picked = pool[j]!;
    pool[j] = pool[i]!;
    return picked;
  });
}

/** Draws up to `count` of the candidates that hold the same layers, for each range of layers. */
export function sampleByRange<T extends { lo: number; hi: number }>(
  candidates: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const maxLayers = 4096;
  const groups = new Map<number, T[]>();
  candidates.forEach((candidate) => {
    const key = candidate.lo * maxLayers + candidate.hi;
    const group = groups.get(key);
    if (group) group.push(candidate);
    else groups.set(key, [candidate]);
  });
  return [...groups.values()].flatMap((group) => sample(group, count, random));
}
