import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { fitLine } from '../src/bench/linear-fit.js'

interface Case {
  name: string
  points: Array<[number, number]>
  /** Intercept, slope, largest residual, r squared. */
  fit: [number, number, number, number]
}

const CASES: Case[] = [
  { name: 'a line', points: [[0, 1], [1, 3], [2, 5]], fit: [1, 2, 0, 1] },
  { name: 'no growth', points: [[0, 4], [5, 4], [10, 4]], fit: [4, 0, 0, 1] },
  { name: 'points off the line', points: [[0, 0], [1, 3], [2, 0]], fit: [1, 0, 2, 0] },
  { name: 'all points at one x', points: [[2, 1], [2, 3]], fit: [2, 0, 1, 0] }
]

const fits = suite('linear fit')
for (const { name, points, fit } of CASES) {
  fits(name, () => {
    const { intercept, slope, largestResidual, rSquared } = fitLine(points)
    assert.equal([intercept, slope, largestResidual, rSquared], fit)
  })
}
fits.run()
