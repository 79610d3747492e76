/**
 * Placement by greedy coverage: each target in turn, fastest first, takes as many layers as fit in
 * its memory, where the throughput so far is lowest. It is kept as the baseline for the balanced
 * stages. The choice of blocks in Petals (2022) is a public description of the idea.
 */
import type { ServedRange } from './flow.js';
import type { Member } from './stages.js';

export interface GreedyRange extends ServedRange {
  member: Member;
}

/**
 * Start of the window of `length` layers with the lowest minimum throughput, to which the mean
 * throughput is added with a small weight.
 */
function leastCoveredWindow(covered: readonly number[], length: number): number {
  const starts = Array.from({ length: covered.length - length + 1 }, (_, start) => start);
  const coverage = (start: number) => {
    const window = covered.slice(start, start + length);
    const sum = window.reduce((total, rate) => total + rate, 0);
    return Math.min(...window) + sum / length / covered.length;
  };
  return starts.reduce((best, start) => (coverage(start) < coverage(best) ? start : best), 0);
}

export function greedyPlacement(layers: number, members: readonly Member[]): GreedyRange[] {
  const covered = Array.from({ length: layers }, () => 0);
  return [...members].filter(({ maxLayers }) => maxLayers > 0).sort((a, b) => b.rate - a.rate)
    .map((member) => {
      const length = Math.min(member.maxLayers, layers);
      const lo = leastCoveredWindow(covered, length);
      Array.from({ length }, (_, i) => lo + i).forEach((layer) => {
        covered[layer] = covered[layer]! + member.rate / length;
      });
      return {
        lo, hi: lo + length, rate: member.rate, member,
      };
    });
}
