/**
 * Command line of the real program: its output and its exit code.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url))

interface Case {
  name: string
  /** `FILE` is replaced by the path of the settings file. */
  commandLine: string[]
  code: number
  output: RegExp
}

const CASES: Case[] = [
  { name: 'no settings file', commandLine: [], code: 2, output: /--settings is missing/ },
  { name: 'a settings file that does not exist', commandLine: ['--settings', '/nowhere/s.toml'], code: 2, output: /s\.toml: cannot be read/ },
  { name: 'an unknown option', commandLine: ['--bogus'], code: 2, output: /Unknown option/ },
  { name: 'a check of valid settings', commandLine: ['--settings', 'FILE', '--check'], code: 0, output: /the settings are right/ },
  { name: 'the version', commandLine: ['--version'], code: 0, output: /wigeonlead\/\d/ },
  { name: 'a port that is in use, after another listener was opened', commandLine: ['--settings', 'FILE'], code: 1, output: /EADDRINUSE/ }
]

const commandLines = suite<{ folder: string, file: string, taken: Server }>('command line of wigeonlead')

commandLines.before(async context => {
  context.taken = createServer()
  await new Promise<void>(resolve => context.taken.listen(0, '127.0.0.1', resolve))
  context.folder = mkdtempSync(join(tmpdir(), 'wigeonlead-'))
  context.file = join(context.folder, 'settings.toml')
  const { port } = context.taken.address() as AddressInfo
  writeFileSync(context.file, `
[node]
vm = "entry-1"
failureDomain = "howrah"
[listen]
peers = "127.0.0.1:0"
operators = "127.0.0.1:${port}"
callers = "127.0.0.1:0"
[platform]
keyValue = ["http://127.0.0.1:1"]
vmList = "http://127.0.0.1:1"
[peers]
secrets = [{ id = "first", value = "a secret of this test only" }]
[operators]
tokenDigests = ["${'0'.repeat(64)}"]
`)
})
commandLines.after(context => {
  context.taken.close()
  rmSync(context.folder, { recursive: true })
})

for (const { name, commandLine, code, output } of CASES) {
  commandLines(name, async ({ file }) => {
    const ended = await run(commandLine.map(word => word === 'FILE' ? file : word))
    assert.is(ended.code, code)
    assert.match(ended.text, output)
  })
}
commandLines.run()

function run (commandLine: string[]): Promise<{ code: number | null, text: string }> {
  const child = spawn(process.execPath, [MAIN, ...commandLine])
  let text = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { text += chunk.toString() })
  return new Promise(resolve => child.on('close', code => resolve({ code, text })))
}
