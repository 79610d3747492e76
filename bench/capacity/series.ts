/** Measurements of one quantity at several load sizes, with a fitted line. */
import { fitLine, type Fit, type Point } from './fit.js';

export interface Series {
  role: 'entry' | 'agent';
  /** Independent variable (x axis), such as "agents connected". */
  per: string;
  /** Measured quantity (y axis), such as "cpu". */
  of: string;
  unit: string;
  points: Point[];
  fit: Fit;
}

/** Measured values by quantity. */
export type SeriesValues = Record<string, number>;

/** Creates one series for each quantity in `units`. */
export function seriesOf(
  role: Series['role'],
  per: string,
  rows: readonly { x: number; values: SeriesValues }[],
  units: Record<string, string>,
): Series[] {
  return Object.entries(units).map(([of, unit]) => {
    const points = rows.map(({ x, values }) => ({ x, y: values[of]! }));
    return {
      role, per, of, unit, points, fit: fitLine(points),
    };
  });
}
