/**
 * The command line of `wigeonctl`: its commands, options and exit codes.
 */
import { randomUUID } from 'node:crypto'
import { readFileSync, writeFileSync } from 'node:fs'
import { cac, type CAC } from 'cac'
import { createEtcdKeyValue, createVmListClient } from '@wigeonlead/protocol'
import { checkCommand } from './commands/check.js'
import { domainsCommand } from './commands/domains.js'
import { explainCommand } from './commands/explain.js'
import { fleetCommand } from './commands/fleet.js'
import { publishCommand } from './commands/publish.js'
import { quarantineCommand } from './commands/quarantine.js'
import { reportCommand } from './commands/report.js'
import { renderReportPage } from './commands/report-page.js'
import { routeCommand } from './commands/route.js'
import { statusCommand } from './commands/status.js'
import { cancelStopCommand, listStopsCommand, planStopCommand } from './commands/stop.js'
import { findRouters, type RouterQuery } from './routers.js'
import { ExitCode, failureOutput, invalidArguments, type CommandOutput, type ToolPorts } from './tool.js'

const VERSION = '0.1.0'
const DEFAULT_KEY_VALUE = 'http://127.0.0.1:2379'
const TOKEN_VARIABLE = 'WIGEONLEAD_TOKEN'
const METRICS_ADDRESS = /^[\w.-]+:\d+$/
const WHOLE_NUMBER = /^\d{1,9}$/
const FILE_ERROR_TEXTS: Record<string, string> = {
  ENOENT: 'found nothing there, wanted a file',
  EISDIR: 'found a directory, wanted a file',
  EACCES: 'found a file that this user may not open, wanted an accessible one'
}

interface Options {
  json?: boolean
  keyValue?: string
  vmList?: string
  router?: string | string[]
  operatorsPort?: number
  tokenFile?: string
  target?: string
  vm?: string
  from?: string
  until?: string
  html?: string
  lift?: string
  service?: string
  workspace?: string
  promptTokens?: unknown
  answerTokens?: unknown
}

/** Runs a command with its options and its positional argument. */
type CommandRunner = (options: Options, argument: string) => CommandOutput | Promise<CommandOutput>

const STOP_ACTIONS: Record<string, CommandRunner> = {
  plan: options => planStopCommand(createPorts(options), readStopArguments(options)),
  cancel: (options, id) => id === '' ? invalidArguments(['found no identifier, wanted: stop cancel ID']) : cancelStopCommand(createPorts(options), id),
  list: options => listStopsCommand(createPorts(options))
}

/**
 * Parses the command line and runs the command that it names.
 * @param argv as in `process.argv`.
 * @returns the exit code.
 */
export async function runTool (argv: string[]): Promise<ExitCode> {
  let code = ExitCode.Success
  const program = createProgram(async (options, run, argument = '') => { code = printOutput(await run(options, argument), options) })
  try {
    const parsed = program.parse(argv, { run: false })
    const isHelpOrVersion = parsed.options.help === true || parsed.options.version === true
    if (program.matchedCommand === undefined && !isHelpOrVersion) {
      const found = parsed.args[0] === undefined ? 'no command' : `"${parsed.args[0]}"`
      return printOutput(invalidArguments([`found ${found}, wanted one of: check, publish, stop, status, report, fleet, quarantine, domains, route, explain; see --help`]), { json: parsed.options.json === true })
    }
    await program.runMatchedCommand()
    return code
  } catch (error) {
    return printOutput(invalidArguments([(error as Error).message]), { json: argv.includes('--json') })
  }
}

function createProgram (execute: (options: Options, run: CommandRunner, argument?: string) => Promise<void>): CAC {
  const program = cac('wigeonctl')
  program.option('--json', 'Machine-readable output')
  program.option('--key-value <addresses>', 'Addresses of the key-value service, separated by commas; ' + DEFAULT_KEY_VALUE + ' by default')
  program.option('--vm-list <address>', 'Address of the VM list')
  program.command('check <manifest>', 'Check a manifest and list every fault')
    .action((file: string, options: Options) => execute(options, () => withFileText(file, checkCommand)))
  program.command('publish <manifest>', 'Check a manifest and put it in force')
    .action((file: string, options: Options) =>
      execute(options, () => withFileText(file, text => publishCommand(createPorts(options), text))))
  program.command('stop <action> [id]', 'Plan, cancel or list planned stops: stop plan | stop cancel ID | stop list')
    .option('--target <name>', 'Target to stop')
    .option('--vm <name>', 'VM to stop')
    .option('--from <time>', 'When it stops getting new work: ISO 8601 or +5m; now by default')
    .option('--until <time>', 'When it is shut down: ISO 8601 or +20m')
    .action((action: string, id: string | undefined, options: Options) => execute(options, STOP_ACTIONS[action] ?? (() =>
      invalidArguments([`found "stop ${action}", wanted stop plan, stop cancel or stop list`])), id))
  for (const [name, summary, command] of [
    ['status', 'Show the status of every entry VM and what is not yet in force there', runStatus], ['report', 'Show the error budget burn rates, summed over all entry VMs', runReport]
  ] as const) {
    const declared = program.command(name, summary)
      .option('--router <address>', 'Address of an operators\' listener; may be repeated')
      .option('--operators-port <port>', 'Port of the operators\' listeners of the entry VMs in the VM list')
      .option('--token-file <file>', `File with the operators' token; the variable ${TOKEN_VARIABLE} by default`)
    if (name === 'report') declared.option('--html <file>', 'Write a self-contained page')
    declared.action((options: Options) => execute(options, command))
  }
  program.command('fleet [...addresses]', 'Show the state of the relays at these metrics addresses')
    .action((addresses: string[], options: Options) => execute(options, () => runFleet(addresses)))
  program.command('quarantine <address>', 'List the parts of prompts and the requests that the relay at this metrics address refuses')
    .option('--lift <subject>', 'Part, or digest of a request, that is sound: it is sent again')
    .option('--service <name>', 'Its service, as listed')
    .action((address: string, options: Options) => execute(options, () => runQuarantine(address, options)))
  program.command('domains <address>', 'Show what the relay at this metrics address sends to other failure domains, and why')
    .action((address: string, options: Options) => execute(options, () => runDomains(address)))
  program.command('route <address> <host> <path>', 'Explain where a request would go now from the relay at this metrics address, without sending it')
    .option('--workspace <name>', 'Name of the workspace (not its key); without one, the rank is that of the route')
    .option('--prompt-tokens <number>', 'Tokens of the prompt; the usual number by default')
    .option('--answer-tokens <number>', 'Expected tokens of the answer; the usual number by default')
    .action((address: string, host: string, path: string, options: Options) =>
      execute(options, () => runRoute(address, host, path, options)))
  program.command('explain <request> [...logs]', 'Show what happened to one request, from the log files of the entry VMs')
    .action((request: string, logs: string[], options: Options) => execute(options, () => runExplain(String(request), logs)))
  program.help()
  program.version(VERSION)
  return program
}

async function runFleet (addresses: string[]): Promise<CommandOutput> {
  const malformed = addresses.filter(address => !METRICS_ADDRESS.test(address))
  if (malformed.length > 0) return invalidArguments(malformed.map(address => `found "${address}", wanted IP:PORT of a metrics listener`))
  if (addresses.length === 0) return invalidArguments(['found no address, wanted: fleet IP:PORT...'])
  return await fleetCommand(addresses)
}

async function runQuarantine (address: string, { lift, service }: Options): Promise<CommandOutput> {
  if (!METRICS_ADDRESS.test(address)) return invalidArguments([`found "${address}", wanted IP:PORT of a metrics listener`])
  if ((lift === undefined) !== (service === undefined)) return invalidArguments(['found one of --lift and --service, wanted both or none'])
  return await quarantineCommand(address, lift === undefined ? undefined : { service: String(service), subject: String(lift) })
}

async function runDomains (address: string): Promise<CommandOutput> {
  if (!METRICS_ADDRESS.test(address)) return invalidArguments([`found "${address}", wanted IP:PORT of a metrics listener`])
  return await domainsCommand(address)
}

async function runRoute (address: string, host: string, path: string, options: Options): Promise<CommandOutput> {
  if (!METRICS_ADDRESS.test(address)) return invalidArguments([`found "${address}", wanted IP:PORT of a metrics listener`])
  const counts = { '--prompt-tokens': options.promptTokens, '--answer-tokens': options.answerTokens }
  const faults = Object.entries(counts).filter(([, value]) => value !== undefined && !WHOLE_NUMBER.test(String(value)))
    .map(([name, value]) => `found ${name} "${String(value)}", wanted a whole number of tokens`)
  if (faults.length > 0) return invalidArguments(faults)
  const text = (value: unknown): string | undefined => value === undefined ? undefined : String(value)
  return await routeCommand(address, {
    host: String(host),
    path: String(path),
    workspace: text(options.workspace),
    promptTokens: text(options.promptTokens),
    answerTokens: text(options.answerTokens)
  })
}

function runExplain (request: string, logs: string[]): CommandOutput {
  if (logs.length === 0) return invalidArguments(['found no log file, wanted: explain REQUEST-ID FILE...'])
  return explainCommand(request, logs.map(readText))
}

async function runStatus (options: Options): Promise<CommandOutput> {
  const query = await readRouterQuery(options)
  if ('code' in query) return query
  return await statusCommand(query, options.keyValue === undefined ? undefined : createPorts(options).keyValue)
}

async function runReport (options: Options): Promise<CommandOutput> {
  const query = await readRouterQuery(options)
  if ('code' in query) return query
  const output = await reportCommand(query)
  if (options.html === undefined) return output
  const pageFile = options.html
  withFileErrors(pageFile, () => writeFileSync(pageFile, renderReportPage(output.value)))
  return { ...output, text: `${output.text}\nwrote ${pageFile}` }
}

async function readRouterQuery (options: Options): Promise<RouterQuery | CommandOutput> {
  const token = options.tokenFile === undefined ? process.env[TOKEN_VARIABLE] ?? '' : readText(options.tokenFile).trim()
  if (token === '') return invalidArguments([`found no operators' token, wanted --token-file or the variable ${TOKEN_VARIABLE}`])
  const addresses = [options.router ?? []].flat().flatMap(address => String(address).split(','))
  if (options.operatorsPort !== undefined) {
    if (options.vmList === undefined) return invalidArguments(['found --operators-port alone, wanted --vm-list with it'])
    const found = await findRouters(createVmListClient(options.vmList), Number(options.operatorsPort))
    if (!found.ok) return failureOutput(found.failure)
    addresses.push(...found.value)
  }
  if (addresses.length === 0) return invalidArguments(['found no entry VM to ask, wanted --router, or --vm-list with --operators-port'])
  return { addresses: [...new Set(addresses)], token }
}

function createPorts (options: Options): ToolPorts {
  return {
    keyValue: createEtcdKeyValue({ endpoints: (options.keyValue ?? DEFAULT_KEY_VALUE).split(',') }),
    vmList: options.vmList === undefined ? undefined : createVmListClient(options.vmList),
    random: { nextFloat: Math.random, nextNonce: randomUUID }
  }
}

function readStopArguments ({ target, vm, from, until }: Options): { target?: string, vm?: string, from?: string, until?: string } {
  const text = (value: unknown): string | undefined => value === undefined ? undefined : String(value)
  return { target: text(target), vm: text(vm), from: text(from), until: text(until) }
}

function withFileText<T> (file: string, run: (text: string) => T): T {
  return run(readText(file))
}

function readText (file: string): string {
  return withFileErrors(file, () => readFileSync(file, 'utf8'))
}

function withFileErrors<T> (file: string, run: () => T): T {
  try {
    return run()
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? ''
    throw new Error(`${file}: ${FILE_ERROR_TEXTS[code] ?? (error as Error).message}`, { cause: error })
  }
}

function printOutput (output: CommandOutput, options: Pick<Options, 'json'>): ExitCode {
  const stream = output.code === ExitCode.Success ? process.stdout : process.stderr
  if (options.json === true) process.stdout.write(JSON.stringify(output.value) + '\n')
  else stream.write(output.text + '\n')
  return output.code
}
