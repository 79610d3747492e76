/**
 * Random subsets of candidates. Entries with the same stale view of the load would all choose the
 * same target; choosing among a few random candidates spreads their requests (Mitzenmacher, "The
 * power of two choices in randomized load balancing").
 */

/** Draws up to `count` distinct items. */
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

/** For each distinct range of layers, draws up to `count` of the candidates that hold it. */
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
