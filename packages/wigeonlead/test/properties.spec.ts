import { suite } from 'uvu'
import { PROPERTIES } from './properties/index.js'

const DEFAULT_RUNS = { seed: 20261203, runs: 100 }

const properties = suite('properties')
for (const property of PROPERTIES) {
  properties(property.name, () => property.check(DEFAULT_RUNS))
}
properties.run()
