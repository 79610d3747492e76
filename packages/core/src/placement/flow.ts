/**
 * Throughput of given layer ranges if the work on a layer can be split freely among the targets
 * that serve it. This is a transportation problem over intervals. Taking the capacity for each
 * segment, in order, from the covering targets whose ranges end first solves it exactly (Glover's
 * rule for convex bipartite matching).
 */
import { bisect } from './bound.js';

/** Layers [lo, hi) that a target serves. */
export interface ServedRange {
  lo: number;
  hi: number;
  /** Layers of requests that the target can run per second. */
  rate: number;
}

/** Consecutive layers that are served by the same targets. */
interface Segment {
  lo: number;
  hi: number;
}

function segmentsOf(ranges: readonly ServedRange[], layers: number): Segment[] {
  const boundaries = [...new Set([0, layers, ...ranges.flatMap(({ lo, hi }) => [lo, hi])])]
    .filter((boundary) => boundary >= 0 && boundary <= layers)
    .sort((a, b) => a - b);
  return boundaries.slice(1).map((hi, i) => ({ lo: boundaries[i]!, hi }));
}

/** Whether ranges, sorted by `hi`, can carry the request rate through all segments. */
function canCarry(
  segments: readonly Segment[],
  ranges: readonly ServedRange[],
  requestRate: number,
): boolean {
  const remaining = ranges.map(({ rate }) => rate);
  return segments.every(({ lo, hi }) => {
    const missing = ranges.reduce((unserved, range, i) => {
      if (unserved <= 0 || range.lo > lo || range.hi < hi) return unserved;
      const taken = Math.min(unserved, remaining[i]!);
      remaining[i] = remaining[i]! - taken;
      return unserved - taken;
    }, requestRate * (hi - lo));
    return missing <= requestRate * 1e-9;
  });
}

/** Requests per second that the ranges can carry; 0 if a layer is not covered. */
export function fluidThroughput(ranges: readonly ServedRange[], layers: number): number {
  const segments = segmentsOf(ranges, layers);
  const byEnd = [...ranges].sort((a, b) => a.hi - b.hi);
  const covered = segments.every(({ lo, hi }) => ranges.some((r) => r.lo <= lo && r.hi >= hi));
  if (!covered) return 0;
  const high = ranges.reduce((sum, { rate }) => sum + rate, 0) / layers;
  return bisect(high, (rate) => canCarry(segments, byEnd, rate));
}
