/**
 * Throughput of given layer ranges when targets share the work of each layer freely: a transport
 * problem with intervals, for which serving each run of layers from the covering targets whose
 * range ends first is exact (Glover's rule for convex bipartite matching).
 */
import { bisect } from './bound.js';

/** Layers [lo, hi) that a target serves. */
export interface ServedRange {
  lo: number;
  hi: number;
  /** Layers of requests that the target runs in a second. */
  rate: number;
}

interface Segment {
  lo: number;
  hi: number;
}

function segmentsOf(ranges: readonly ServedRange[], layers: number): Segment[] {
  const cuts = [...new Set([0, layers, ...ranges.flatMap(({ lo, hi }) => [lo, hi])])]
    .filter((cut) => cut >= 0 && cut <= layers)
    .sort((a, b) => a - b);
  return cuts.slice(1).map((hi, i) => ({ lo: cuts[i]!, hi }));
}

function carries(
  segments: readonly Segment[],
  ranges: readonly ServedRange[],
  requestRate: number,
): boolean {
  const left = ranges.map(({ rate }) => rate);
  return segments.every(({ lo, hi }) => {
    const missing = ranges.reduce((need, range, i) => {
      if (need <= 0 || range.lo > lo || range.hi < hi) return need;
      const taken = Math.min(need, left[i]!);
      left[i] = left[i]! - taken;
      return need - taken;
    }, requestRate * (hi - lo));
    return missing <= requestRate * 1e-9;
  });
}

/** Requests per second that the ranges can carry; 0 when a layer is not covered. */
export function fluidThroughput(ranges: readonly ServedRange[], layers: number): number {
  const segments = segmentsOf(ranges, layers);
  const byEnd = [...ranges].sort((a, b) => a.hi - b.hi);
  const covered = segments.every(({ lo, hi }) => ranges.some((r) => r.lo <= lo && r.hi >= hi));
  if (!covered) return 0;
  const high = ranges.reduce((sum, { rate }) => sum + rate, 0) / layers;
  return bisect(high, (rate) => carries(segments, byEnd, rate));
}
