#!/usr/bin/env node
/**
 * The binary `wigeonctl`: the operators' tool.
 */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { cac } from 'cac'
import { createEtcdKeyValue } from '@wigeonlead/protocol'
import { checkCommand } from './commands/check.js'
import { publishCommand } from './commands/publish.js'
import { ExitCode, type CommandOutput, type ToolPorts } from './tool.js'

const VERSION = '0.1.0'
const DEFAULT_KEY_VALUE = 'http://127.0.0.1:2379'

interface Options {
  json?: boolean
  keyValue: string
}

const program = cac('wigeonctl')
program.option('--json', 'Machine-readable output')
program.option('--key-value <address>', 'Address of the key-value service', { default: DEFAULT_KEY_VALUE })
program.command('check <manifest>', 'Check a manifest').action((file: string, options: Options) => {
  print(checkCommand(readFileSync(file, 'utf8')), options)
})
program.command('publish <manifest>', 'Put a manifest in force').action(async (file: string, options: Options) => {
  print(await publishCommand(portsOf(options), readFileSync(file, 'utf8')), options)
})
program.help()
program.version(VERSION)

try {
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
} catch (error) {
  process.stderr.write(`wigeonctl: ${(error as Error).message}\n`)
  process.exitCode = ExitCode.Faulty
}

function portsOf (options: Options): ToolPorts {
  return {
    keyValue: createEtcdKeyValue({ endpoints: options.keyValue.split(',') }),
    random: { nextFloat: Math.random, nextNonce: randomUUID }
  }
}

function print (output: CommandOutput, options: Options): void {
  const stream = output.code === ExitCode.Done ? process.stdout : process.stderr
  if (options.json === true) process.stdout.write(JSON.stringify(output.value) + '\n')
  else stream.write(output.text + '\n')
  process.exitCode = output.code
}
