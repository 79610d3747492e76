/** A measured quantity over sizes, with the line through it. */
import { fitLine, type Fit, type Point } from './fit.js';

export interface Series {
  role: 'entry' | 'agent';
  /** What is counted along x, such as "agents connected". */
  per: string;
  /** What is measured, such as "cpu". */
  of: string;
  unit: string;
  points: Point[];
  fit: Fit;
}

export type Row = Record<string, number>;

/** Makes one series for each measured quantity of the rows. */
export function seriesOf(
  role: Series['role'],
  per: string,
  rows: readonly { x: number; values: Row }[],
  units: Record<string, string>,
): Series[] {
  return Object.entries(units).map(([of, unit]) => {
    const points = rows.map(({ x, values }) => ({ x, y: values[of]! }));
    return {
      role, per, of, unit, points, fit: fitLine(points),
    };
  });
}
