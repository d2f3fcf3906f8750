#!/usr/bin/env node
/**
 * Command line that runs a stand-in as a process of its own on loopback: `platform`, `engine` or `service`.
 */
import { readFileSync } from 'node:fs'
import { cac } from 'cac'
import { layerRangeSchema, vmEntrySchema, type VmEntry } from '@wigeonlead/protocol'
import { createEngine } from './engine/core.js'
import { startEngineServer } from './engine/server.js'
import { startKeyValueServer, startVmListServer } from './platform/server.js'
import { createKeyValueStore } from './platform/store.js'
import { createOrderService, startOrderServer } from './service/orders.js'

const EXIT_INVALID_ARGUMENTS = 2

interface PlatformOptions {
  keyValuePort: number
  vmListPort: number
  vms: string
}

interface EngineOptions {
  port: number
  name: string
  model: string
  modelVersion: string
  layers: string
  adapters: string
  stepMilliseconds: number
  checksFencing?: boolean
}

const program = cac('stand-ins')
program.command('platform', 'The key-value service and the VM list')
  .option('--key-value-port <port>', 'Port of the key-value service', { default: 2379 })
  .option('--vm-list-port <port>', 'Port of the VM list', { default: 2380 })
  .option('--vms <file>', 'JSON file with the list of VMs, read again for each call')
  .action(runPlatform)
program.command('engine', 'One model engine')
  .option('--port <port>', 'Port to listen on')
  .option('--name <name>', 'Name of the target')
  .option('--model <model>', 'Model that the engine holds')
  .option('--model-version <version>', 'Version of the model', { default: 'v1' })
  .option('--layers <from-to>', 'Half-open range of layers, such as 0-8')
  .option('--adapters <names>', 'Adapters that the engine holds, separated by commas', { default: '' })
  .option('--step-milliseconds <milliseconds>', 'Duration of one step', { default: 8 })
  .option('--checks-fencing', 'Refuse orders with an outdated fencing token')
  .action(runEngine)
program.command('service', 'A plain service that books orders and looks up jobs')
  .option('--port <port>', 'Port to listen on')
  .action(async ({ port }: { port: number }) => printAddress('service', (await startOrderServer(createOrderService(), port)).address))
program.help()

try {
  program.parse(process.argv, { run: false })
  if (program.matchedCommand === undefined && program.options.help !== true) throw new Error('wanted a command: platform, engine or service')
  await program.runMatchedCommand()
} catch (error) {
  process.stderr.write(`stand-ins: ${(error as Error).message}\n`)
  process.exit(EXIT_INVALID_ARGUMENTS)
}

async function runPlatform ({ keyValuePort, vmListPort, vms }: PlatformOptions): Promise<void> {
  const list = (): VmEntry[] => vmEntrySchema.array().parse(JSON.parse(readFileSync(vms, 'utf8')))
  list()
  printAddress('key-value service', (await startKeyValueServer(createKeyValueStore(), { port: keyValuePort })).address)
  printAddress('VM list', (await startVmListServer(list, vmListPort)).address)
}

async function runEngine (options: EngineOptions): Promise<void> {
  const [from, to] = String(options.layers).split('-').map(Number)
  const adapters = String(options.adapters).split(',').filter(name => name !== '')
  const part = { model: options.model, version: options.modelVersion, adapters, layers: layerRangeSchema.parse({ from, to }) }
  const { name, stepMilliseconds, checksFencing } = options
  const server = await startEngineServer(createEngine({ name, held: [part], stepMilliseconds, checksFencing }), options.port)
  printAddress(`engine ${name}`, server.address)
}

function printAddress (what: string, address: string): void {
  process.stdout.write(`${what} at ${address}\n`)
}
