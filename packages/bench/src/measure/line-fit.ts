/** Fits a least-squares line to measured points. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square error of the fit, in units of y. */
  readonly residual: number;
  /**
   * Vertical distance of the last point from the line fitted to the points before it, as a share of
   * its y. A clearly positive value shows growth faster than linear.
   */
  readonly bend: number;
}

/**
 * Fits a line to at least two points, in the order of x.
 *
 * @example fitLine([{ x: 0, y: 1 }, { x: 1, y: 3 }]).slope // 2
 */
export function fitLine(points: readonly Point[]): LineFit {
  const { slope, intercept } = leastSquares(points);
  const squares = points.map(({ x, y }) => (y - intercept - slope * x) ** 2);
  const residual = Math.sqrt(mean(squares));
  const last = points[points.length - 1];
  if (points.length < 3 || !last || last.y === 0) return { slope, intercept, residual, bend: 0 };
  const before = leastSquares(points.slice(0, -1));
  const expected = before.intercept + before.slope * last.x;
  return { slope, intercept, residual, bend: (last.y - expected) / last.y };
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function leastSquares(points: readonly Point[]): { slope: number; intercept: number } {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sumXX === 0 ? 0 : sumXY / sumXX;
  return { slope, intercept: meanY - slope * meanX };
}
