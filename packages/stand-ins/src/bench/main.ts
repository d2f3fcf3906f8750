/**
 * `npm run bench -- <experiment>`: runs an experiment, prints its table and writes its data to docs/measurements/.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { claimsExperiment } from './claims.js'
import type { Experiment, ExperimentResult } from './experiment.js'
import { choiceExperiment } from './experiments/choice.js'
import { herdingExperiment } from './experiments/herding.js'
import { latencyExperiment } from './experiments/latency.js'
import { noisyNeighbourExperiment } from './experiments/noisy-neighbour.js'
import { recoveryExperiment } from './experiments/recovery.js'
import { retryStormExperiment } from './experiments/retry-storm.js'
import { throughputExperiment } from './experiments/throughput.js'
import { renderPlot } from './plot.js'
import { relayExperiment } from './relay.js'
import { capacityExperiment } from './slopes-capacity.js'
import { failuresExperiment } from './slopes-failures.js'
import { fleetExperiment, slopesExperiment } from './slopes.js'
import { spreadExperiment } from './spread.js'

const EXPERIMENTS: Record<string, Experiment> = {
  throughput: throughputExperiment,
  latency: latencyExperiment,
  recovery: recoveryExperiment,
  herding: herdingExperiment,
  'noisy-neighbour': noisyNeighbourExperiment,
  'retry-storm': retryStormExperiment,
  choice: choiceExperiment,
  relay: relayExperiment,
  claims: claimsExperiment,
  slopes: slopesExperiment,
  fleet: fleetExperiment,
  failures: failuresExperiment,
  capacity: capacityExperiment,
  spread: spreadExperiment
}
const DEFAULT_FOLDER = 'docs/measurements'

const program = cac('bench')
program
  .command('[experiment]', 'Run an experiment, or list them')
  .option('--seed <number>', 'Seed of the random numbers', { default: 1 })
  .option('--quick', 'Shorter runs')
  .option('--out <folder>', 'Folder that the results are written to', { default: DEFAULT_FOLDER })
  .action(run)
program.help()
program.parse(process.argv, { run: false })
await program.runMatchedCommand()

async function run (name: string | undefined, options: { seed: number, quick?: boolean, out: string }): Promise<void> {
  const experiment = name === undefined ? undefined : EXPERIMENTS[name]
  if (name === undefined || experiment === undefined) {
    for (const [experimentName, { summary }] of Object.entries(EXPERIMENTS)) process.stdout.write(`${experimentName}: ${summary}\n`)
    process.exitCode = name === undefined ? 0 : 2
    return
  }
  const result = await experiment.run({ seed: options.seed, quick: options.quick === true })
  process.stdout.write(renderTable(result))
  mkdirSync(options.out, { recursive: true })
  const { plot, ...data } = result
  writeFileSync(`${options.out}/${name}.json`, JSON.stringify({ experiment: name, seed: options.seed, ...data }, null, 2) + '\n')
  if (plot !== undefined) writeFileSync(`${options.out}/${name}.svg`, renderPlot(plot))
  process.exit(0)
}

function renderTable ({ columns, rows, notes }: ExperimentResult): string {
  const lines = [columns, ...rows].map(row => row.map(cell => typeof cell === 'number' ? String(Math.round(cell * 1000) / 1000) : cell))
  const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)))
  const table = lines.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
  return [...table, ...notes].join('\n') + '\n'
}
