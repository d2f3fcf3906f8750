#!/usr/bin/env node
/**
 * The `wigeonlead` command: runs one router process.
 */
import { cac } from 'cac'
import { createLogger, readSettings, serveRouter } from './process/index.js'

const VERSION = '0.1.0'
const EXIT_FAULTY_SETTINGS = 2
const EXIT_FAILED = 1

const program = cac('wigeonlead')
program
  .command('', 'Run the router')
  .option('--settings <file>', 'Settings file in TOML')
  .option('--check', 'Check the settings and exit')
  .action(run)
program.help()
program.version(VERSION)

try {
  program.parse()
} catch (error) {
  process.stderr.write(`wigeonlead: ${(error as Error).message}\n`)
  process.exit(EXIT_FAULTY_SETTINGS)
}

async function run (options: { settings?: string, check?: boolean }): Promise<void> {
  const checked = options.settings === undefined ? { ok: false as const, faults: ['--settings is missing'] } : readSettings(options.settings)
  if (!checked.ok) {
    for (const fault of checked.faults) process.stderr.write(`wigeonlead: ${fault}\n`)
    process.exitCode = EXIT_FAULTY_SETTINGS
    return
  }
  if (options.check === true) {
    process.stdout.write('the settings are right\n')
    return
  }
  const { settings } = checked
  const logger = createLogger(settings.logging.level, settings.node.vm)
  try {
    const running = await serveRouter(settings, logger)
    const stop = (): void => { void running.shutdown() }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
    await running.stopped
    process.exit(0)
  } catch (error) {
    process.stderr.write(`wigeonlead: ${(error as Error).message}\n`)
    process.exit(EXIT_FAILED)
  }
}
