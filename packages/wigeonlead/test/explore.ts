/**
 * `npm run explore -- --seed N --runs M [--property NAME]`: checks the properties of the tests with other seeds and more runs.
 */
import { parseArgs } from 'node:util'
import { PROPERTIES } from './properties/index.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1000' },
    property: { type: 'string' }
  }
})
const runs = { seed: Number(values.seed), runs: Number(values.runs) }

for (const property of PROPERTIES) {
  if (values.property !== undefined && values.property !== property.name) continue
  try {
    await property.check(runs)
    process.stdout.write(`ok   ${property.name}: ${runs.runs} sequences from seed ${runs.seed}\n`)
  } catch (error) {
    process.stdout.write(`FAIL ${property.name}: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = 1
  }
}
