/**
 * Least-squares fit of a line through measured points.
 */

/** A line `y = intercept + slope * x`. */
export interface LinearFit {
  intercept: number
  slope: number
  /** Largest distance of a point from the line, in units of y. */
  largestResidual: number
  /** Share of the variance that the line explains; 1 if all points have the same y. */
  rSquared: number
}

/** Fits a line through at least two points of different x. */
export function fitLine (points: Array<[x: number, y: number]>): LinearFit {
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const sumOfSquaresX = sum(points.map(([x]) => (x - meanX) ** 2))
  const slope = sumOfSquaresX === 0 ? 0 : sum(points.map(([x, y]) => (x - meanX) * (y - meanY))) / sumOfSquaresX
  const intercept = meanY - slope * meanX
  const residuals = points.map(([x, y]) => y - intercept - slope * x)
  const sumOfSquaresY = sum(points.map(([, y]) => (y - meanY) ** 2))
  const rSquared = sumOfSquaresY === 0 ? 1 : 1 - sum(residuals.map(residual => residual ** 2)) / sumOfSquaresY
  return { intercept, slope, largestResidual: Math.max(...residuals.map(Math.abs)), rSquared }
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: number[]): number {
  return sum(values) / values.length
}
