/**
 * Graceful shutdown of the real process over loopback: requests of every kind are in flight when the process receives SIGTERM twice, or
 * when a planned stop of its VM begins and a SIGTERM follows.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import type { ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ask } from '../ask.js'
import { StopSubject, changeHead, createEtcdKeyValue, digestText, manifestSchema, publishManifest, type KeyValuePort } from '@wigeonlead/protocol'
import {
  createEngine, createKeyValueStore, freeAddress, listen, loopbackVm, referenceAnswer, startEngineServer, startKeyValueServer,
  startVmListServer,
  type RunningServer
} from '@wigeonlead/stand-ins'
import { createSeededRandom } from 'wigeonlead'

const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url))
const KEY = 'key-of-the-repair-desk'
const PROMPT = 'Summarise: the ceiling leaks in block 7'
const LAYERS = 8
const BALANCER_LAG_MILLISECONDS = 3000

/** A service that answers no request until it is released. */
interface BlockedService {
  requests: number
  isReleased: boolean
  release: () => void
}

interface Case {
  name: string
  stop: (child: ChildProcess, keyValue: KeyValuePort) => Promise<void>
}

const CASES: Case[] = [
  { name: 'SIGTERM, twice', stop: async child => { child.kill('SIGTERM') } },
  { name: 'a planned stop of the VM and a SIGTERM', stop: async (_child, keyValue) => { await startPlannedStop(keyValue) } }
]

const shutdowns = suite('shutdown of the process')
for (const { name, stop } of CASES) shutdowns(`${name} cut off no request`, () => checkShutdown(stop))
shutdowns.run()

async function checkShutdown (stop: Case['stop']): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'wigeonlead-'))
  const service: BlockedService = { requests: 0, isReleased: false, release: () => {} }
  const servers = await startTargets(service)
  const addresses = { callers: await freeAddress(), operators: await freeAddress(), peers: await freeAddress() }
  writeFileSync(join(folder, 'settings.toml'), renderSettings(addresses, servers))
  const child = spawn(process.execPath, [MAIN, '--settings', join(folder, 'settings.toml')], { stdio: 'ignore' })
  const earlyAnswers: string[] = []
  const watchForEarlyAnswer = (answer: Promise<string>): Promise<string> => {
    void answer.then(text => { if (!service.isReleased) earlyAnswers.push(text) }, error => earlyAnswers.push(String(error)))
    return answer
  }

  async function until<T> (read: () => Promise<T>, isWanted: (value: T) => boolean): Promise<void> {
    while (!isWanted(await read())) {
      assert.equal(earlyAnswers, [], 'a request was answered too early')
      assert.is(child.exitCode ?? child.signalCode, null, 'the process ended too early')
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  try {
    await until(() => isReady(addresses.operators), isTrue => isTrue)
    const answers = [
      stream(addresses.callers),
      watchForEarlyAnswer(lookup(addresses.callers, 1)),
      watchForEarlyAnswer(lookup(addresses.callers, 2)),
      watchForEarlyAnswer(book(addresses.callers, 'leak-7-1'))
    ]
    await until(async () => service.requests, count => count >= 3)
    await stop(child, createEtcdKeyValue({ endpoints: [`http://${servers[0]?.address}`] }))
    await until(() => isReady(addresses.operators), isTrue => !isTrue)
    answers.push(watchForEarlyAnswer(lookup(addresses.callers, 3)))
    await until(async () => service.requests, count => count >= 4)
    child.kill('SIGTERM')
    await until(() => isAccepting(addresses.callers), isTrue => !isTrue)
    assert.is(child.exitCode, null)
    const exit = once(child, 'exit')
    service.release()
    const texts = await Promise.all(answers)
    assert.equal(texts, [expectedText(), 'job 1', 'job 2', 'booked', 'job 3'])
    assert.equal(await exit, [0, null])
  } finally {
    await end(child)
    for (const server of servers) await server.close()
    rmSync(folder, { recursive: true })
  }
}

async function startPlannedStop (keyValue: KeyValuePort): Promise<void> {
  const stop = { id: 'stop-1', subject: StopSubject.Vm, name: 'entry-1', fromMilliseconds: 0, untilMilliseconds: Number.MAX_SAFE_INTEGER }
  const changed = await changeHead(keyValue, createSeededRandom(2), head => ({ ...head, stops: [stop] }))
  assert.is(changed.kind, 'accepted')
}

async function startTargets (blockedService: BlockedService): Promise<RunningServer[]> {
  const releaseCallbacks = new Set<() => void>()
  const whenReleased = new Promise<void>(resolve => { releaseCallbacks.add(resolve) })
  blockedService.release = () => {
    blockedService.isReleased = true
    for (const resolve of releaseCallbacks) resolve()
  }
  const service = await listen((request, response) => {
    blockedService.requests += 1
    request.resume()
    void whenReleased.then(() => answer(response, request.method === 'POST' ? 'booked' : (request.url ?? '').replace('/jobs/', 'job ')))
  })
  const engine = createEngine({
    name: 'stage', held: [{ model: 'assistant', version: 'v1', adapters: [], layers: { from: 0, to: LAYERS } }], stepMilliseconds: 5
  })
  const keyValue = await startKeyValueServer(createKeyValueStore())
  const vmList = await startVmListServer(() => [loopbackVm('entry-1', 'howrah', 1)])
  const stage = await startEngineServer(engine)
  const published = await publishManifest(createEtcdKeyValue({ endpoints: [`http://${keyValue.address}`] }), createSeededRandom(1), manifestSchema.parse({
    format: 1,
    failureDomains: ['howrah'],
    models: [{ name: 'assistant', layers: LAYERS, versions: ['v1'] }],
    targets: [{
      name: 'stage',
      address: stage.address,
      failureDomain: 'howrah',
      accelerator: 'large',
      serves: [{ model: 'assistant', version: 'v1', layers: [0, LAYERS] }]
    }],
    services: [{
      name: 'repairs',
      targets: [{ name: 'repairs-1', address: service.address, failureDomain: 'howrah' }],
      operations: [{ method: 'GET', path: '/jobs/*', idempotent: true }, { method: 'POST', path: '/orders', idempotent: false }],
      timeoutMilliseconds: 120_000
    }],
    workspaces: [{ name: 'desk', keyDigests: [digestText(KEY)] }]
  }))
  assert.is(published.kind, 'accepted')
  return [keyValue, vmList, service, stage]
}

function renderSettings (addresses: Record<string, string>, [keyValue, vmList]: RunningServer[]): string {
  return `
[node]
vm = "entry-1"
failureDomain = "howrah"
[listen]
callers = "${addresses.callers}"
operators = "${addresses.operators}"
peers = "${addresses.peers}"
[platform]
keyValue = ["http://${keyValue?.address}"]
vmList = "http://${vmList?.address}"
[peers]
secrets = [{ id = "first", value = "a secret of this test only" }]
[operators]
tokenDigests = ["${digestText('operator')}"]
[shutdown]
balancerLagMilliseconds = ${BALANCER_LAG_MILLISECONDS}
`
}

async function stream (address: string): Promise<string> {
  const body = { model: 'assistant', prompt: PROMPT, stream: true }
  const text = await (await call(address, 'POST', '/v1/completions', JSON.stringify(body))).text()
  assert.ok(text.endsWith('data: [DONE]\n\n'), text)
  return [...text.matchAll(/^data: (\{.*)$/gm)].map(([, json]) => JSON.parse(json ?? '').choices[0].text).join('')
}

async function lookup (address: string, job: number): Promise<string> {
  return await (await call(address, 'GET', `/services/repairs/jobs/${job}`)).text()
}

async function book (address: string, key: string): Promise<string> {
  return await (await call(address, 'POST', '/services/repairs/orders', '{}', { 'idempotency-key': key })).text()
}

function call (address: string, method: string, path: string, body?: string, headers: Record<string, string> = {}): Promise<Response> {
  return ask(`http://${address}${path}`, { method, body, headers: { authorization: `Bearer ${KEY}`, ...headers } })
}

async function isReady (address: string): Promise<boolean> {
  try {
    return (await ask(`http://${address}/readyz`)).status === 200
  } catch {
    return false
  }
}

function isAccepting (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect(Number(port), host ?? '')
    socket.on('connect', () => {
      socket.destroy()
      resolve(true)
    })
    socket.on('error', () => resolve(false))
  })
}

async function end (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  const exit = once(child, 'exit')
  child.kill('SIGKILL')
  await exit
}

function answer (response: ServerResponse, text: string): void {
  response.writeHead(200, { 'content-type': 'text/plain' }).end(text)
}

function expectedText (): string {
  return referenceAnswer({ model: 'assistant', version: 'v1' }, LAYERS, PROMPT, 256).map(token => token.text).join('')
}
