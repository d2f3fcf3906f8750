/**
 * One router process on the loopback address, with a platform and a target of a plain service, in front of which crowds gather.
 */
import type { ServerResponse } from 'node:http'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { checkManifestText, createEtcdKeyValue, digestText, publishManifest } from '@wigeonlead/protocol'
import {
  answerJson, createKeyValueStore, freeAddress, isServed, listen, loopbackVm, startKeyValueServer, startVmListServer, startWatched,
  type WatchedProcess
} from '@wigeonlead/stand-ins'
import { createSeededRandom } from '../src/process/index.js'

/** Listeners of the program, named as in its settings. */
export enum Listener {
  Callers = 'callers',
  Operators = 'operators',
  Peers = 'peers'
}

/** The process and its listeners. */
export interface CrowdFixture {
  watched: WatchedProcess
  addresses: Record<Listener, string>
  /** Whether an ordinary caller is served. */
  isServed: () => Promise<boolean>
  close: () => Promise<void>
}

export const WORKSPACE_KEY = 'key-of-the-crowd'
export const BODY_BYTES_LIMIT = 4_194_304

const PROGRAM = fileURLToPath(new URL('../src/main.js', import.meta.url))
/** As on a machine of 350 MB. */
const HEAP_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=4']
const LONG_ANSWER = 'x'.repeat(4_000_000)

/** Pieces of a body that does not end, up to the size limit of an answer. */
const ENDLESS_PIECE = 'x'.repeat(8000)
const ENDLESS_PIECES = 125
const ENDLESS_INTERVAL_MILLISECONDS = 20

function sendWithoutEnd (response: ServerResponse): void {
  response.writeHead(200)
  let left = ENDLESS_PIECES
  const timer = setInterval(() => {
    if (response.destroyed || left-- <= 0) clearInterval(timer)
    else response.write(ENDLESS_PIECE)
  }, ENDLESS_INTERVAL_MILLISECONDS)
}

/** Starts a router process and waits until it serves. */
export async function startCrowdFixture (): Promise<CrowdFixture> {
  const folder = mkdtempSync(join(tmpdir(), 'wigeonlead-crowd-'))
  const listeners = Object.values(Listener)
  const listenAddresses = await Promise.all(listeners.map(freeAddress))
  const addresses = Object.fromEntries(listeners.map((listener, index) => [listener, listenAddresses[index]])) as Record<Listener, string>
  const keyValue = await startKeyValueServer(createKeyValueStore())
  const vmList = await startVmListServer(() => [loopbackVm('entry-1', 'howrah', Number(addresses[Listener.Peers].split(':')[1]))])
  const target = await listen((incoming, response) => {
    incoming.resume()
    incoming.on('end', () => {
      if (incoming.url === '/jobs/endless') sendWithoutEnd(response)
      else answerJson(response, 200, incoming.url === '/jobs/long' ? LONG_ANSWER : 'done')
    })
  })
  const manifest = checkManifestText(`format = 1
failureDomains = ["howrah"]
[[services]]
name = "desk"
targets = [{ name = "desk-1", address = "${target.address}", failureDomain = "howrah" }]
operations = [{ method = "GET", path = "/jobs/*", idempotent = true }]
[[workspaces]]
name = "crowd"
keyDigests = ["${digestText(WORKSPACE_KEY)}"]
`)
  if (!manifest.ok) throw new Error(JSON.stringify(manifest.faults))
  await publishManifest(createEtcdKeyValue({ endpoints: [`http://${keyValue.address}`] }), createSeededRandom(1), manifest.manifest)
  const settingsFile = join(folder, 'settings.toml')
  writeFileSync(settingsFile, [
    '[node]', 'vm = "entry-1"', 'failureDomain = "howrah"', '[listen]',
    ...listeners.map(listener => `${listener} = "${addresses[listener]}"`),
    '[platform]', `keyValue = ["http://${keyValue.address}"]`, `vmList = "http://${vmList.address}"`,
    '[peers]', 'secrets = [{ id = "first", value = "a secret of this test only" }]',
    '[operators]', `tokenDigests = ["${'0'.repeat(64)}"]`,
    '[callers]', `maximumBodyBytes = ${BODY_BYTES_LIMIT}`
  ].join('\n'))
  const watched = startWatched([...HEAP_OPTIONS, PROGRAM, '--settings', settingsFile], join(folder, 'log'), listenAddresses)
  const isOrdinaryServed = (): Promise<boolean> => isServed(
    `http://${addresses[Listener.Callers]}/services/desk/jobs/1`, { headers: { authorization: `Bearer ${WORKSPACE_KEY}` } }
  )
  async function close (): Promise<void> {
    await watched.kill()
    await Promise.all([target, vmList, keyValue].map(server => server.close()))
    rmSync(folder, { recursive: true, force: true })
  }
  if (!await isOrdinaryServed()) {
    const end = watched.end()
    await close()
    throw new Error(`the router does not serve: ${end ?? 'it runs'}`)
  }
  return { watched, addresses, isServed: isOrdinaryServed, close }
}
