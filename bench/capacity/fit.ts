/** Linear regression. */

export interface Point {
  x: number;
  y: number;
}

export interface Fit {
  slope: number;
  intercept: number;
  /** Standard error of the slope. */
  slopeError: number;
  /** Coefficient of determination. */
  r2: number;
}

const sum = (values: number[]) => values.reduce((total, value) => total + value, 0);

/** Fits a line to three or more points by least squares. */
export function fitLine(points: readonly Point[]): Fit {
  const n = points.length;
  const meanX = sum(points.map(({ x }) => x)) / n;
  const meanY = sum(points.map(({ y }) => y)) / n;
  const sxx = sum(points.map(({ x }) => (x - meanX) ** 2));
  const sxy = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const syy = sum(points.map(({ y }) => (y - meanY) ** 2));
  const slope = sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residual = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  return {
    slope,
    intercept,
    slopeError: Math.sqrt(residual / Math.max(1, n - 2) / sxx),
    r2: syy === 0 ? 1 : 1 - residual / syy,
  };
}
