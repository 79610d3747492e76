/**
 * Placement by greedy coverage: each target in turn, fastest first, fills its memory where the
 * layers have the least throughput so far. Kept as the method that the balanced stages are
 * weighed against; a public description of the idea is the block choice of Petals (2022).
 */
import type { ServedRange } from './flow.js';
import type { Member } from './stages.js';

export interface GreedyRange extends ServedRange {
  member: Member;
}

/** Start of the window of `length` layers whose least covered layer is covered least. */
function weakestWindow(covered: readonly number[], length: number): number {
  const starts = Array.from({ length: covered.length - length + 1 }, (_, start) => start);
  const worth = (start: number) => {
    const window = covered.slice(start, start + length);
    const sum = window.reduce((total, rate) => total + rate, 0);
    return Math.min(...window) + sum / length / covered.length;
  };
  return starts.reduce((best, start) => (worth(start) < worth(best) ? start : best), 0);
}

export function greedyPlacement(layers: number, members: readonly Member[]): GreedyRange[] {
  const covered = Array.from({ length: layers }, () => 0);
  return [...members].filter(({ fits }) => fits > 0).sort((a, b) => b.rate - a.rate)
    .map((member) => {
      const length = Math.min(member.fits, layers);
      const lo = weakestWindow(covered, length);
      Array.from({ length }, (_, i) => lo + i).forEach((layer) => {
        covered[layer] = covered[layer]! + member.rate / length;
      });
      return {
        lo, hi: lo + length, rate: member.rate, member,
      };
    });
}
