/**
 * The quickstart: runs the platform, engines, a service and routers on loopback in one process, and prints and checks the result of each
 * step.
 */
import {
  EngineRole, createEtcdKeyValue, digestText, type ModelPart
} from '@wigeonlead/protocol'
import { SILENT_LOGGER, createSystemRandom, serveRouter, settingsSchema, type RunningRouter, type Settings } from 'wigeonlead'
import { publishCommand } from 'wigeonctl'
import { createEngine, type Engine } from './engine/core.js'
import { referenceAnswer } from './engine/model.js'
import { startEngineServer } from './engine/server.js'
import { freeAddress, type RunningServer } from './http.js'
import { loopbackVm, startKeyValueServer, startVmListServer } from './platform/server.js'
import { createKeyValueStore } from './platform/store.js'
import { createOrderService, startOrderServer, type OrderService } from './service/orders.js'

const FAILURE_DOMAINS = ['howrah', 'salt-lake', 'dum-dum']
const LAYERS = 24
const MODEL = { model: 'assistant', version: 'v1' }
const CALLER_KEY = 'quickstart-key-of-the-repair-desk'
const QUESTION = 'Summarise: the ceiling leaks in block 7'
const STEP_MILLISECONDS = 8
const ACCELERATORS = ['large', 'medium', 'small']
const PEER_SECRET = 'a secret of the quickstart only'
const IN_FORCE_TIMEOUT_MILLISECONDS = 9000

interface Platform {
  servers: RunningServer[]
  keyValueUrl: string
  vmListUrl: string
}

interface Fleet {
  engines: Engine[]
  orders: OrderService
  manifest: string
  servers: RunningServer[]
}

const failures: string[] = []
await main()

async function main (): Promise<void> {
  const platform = await startPlatform()
  const fleet = await startFleet()
  const routers = await startRouters(platform)
  printLine(`started: the platform, ${fleet.engines.length} engines, 1 order service, ${routers.length} routers`)
  try {
    await showPublish(platform, fleet, routers)
    await showStream(routers)
    await showOrder(routers, fleet)
    await showStageFailure(routers, fleet)
  } catch (error) {
    check('the quickstart runs to its end', false, String(error))
  }
  for (const running of routers) running.router.halt()
  for (const server of [...fleet.servers, ...platform.servers]) await server.close()
  printLine(failures.length === 0 ? 'all steps succeeded' : `failed: ${failures.join('; ')}`)
  process.exit(failures.length === 0 ? 0 : 1)
}

async function startPlatform (): Promise<Platform> {
  const keyValue = await startKeyValueServer(createKeyValueStore())
  const vms = FAILURE_DOMAINS.map((domain, index) => loopbackVm(`entry-${index + 1}`, domain))
  const vmList = await startVmListServer(() => vms)
  return { servers: [keyValue, vmList], keyValueUrl: `http://${keyValue.address}`, vmListUrl: `http://${vmList.address}` }
}

async function startFleet (): Promise<Fleet> {
  const engines: Engine[] = []
  const servers: RunningServer[] = []
  const targets: string[] = []
  for (const [replica, domain] of FAILURE_DOMAINS.slice(0, 2).entries()) {
    for (let stage = 0; stage < 3; stage += 1) {
      const layers = { from: stage * 8, to: stage * 8 + 8 }
      const held: ModelPart = { ...MODEL, adapters: [], layers }
      const engine = createEngine({ name: `stage-${replica + 1}-${stage + 1}`, held: [held], stepMilliseconds: STEP_MILLISECONDS })
      const server = await startEngineServer(engine)
      engines.push(engine)
      servers.push(server)
      targets.push(renderTarget(engine.name, server.address, domain, ACCELERATORS[stage] ?? 'small', layers))
    }
  }
  const orders = createOrderService()
  const orderServer = await startOrderServer(orders)
  servers.push(orderServer)
  return { engines, orders, servers, manifest: renderManifest(targets, orderServer.address) }
}

async function startRouters (platform: Platform): Promise<RunningRouter[]> {
  const peers = await Promise.all(FAILURE_DOMAINS.map(freeAddress))
  const routers: RunningRouter[] = []
  for (const [index, failureDomain] of FAILURE_DOMAINS.entries()) {
    const settings: Settings = settingsSchema.parse({
      node: { vm: `entry-${index + 1}`, failureDomain },
      listen: { callers: await freeAddress(), operators: await freeAddress(), peers: peers[index] },
      platform: { keyValue: [platform.keyValueUrl], vmList: platform.vmListUrl },
      peers: { seeds: peers, secrets: [{ id: 'first', value: PEER_SECRET }] },
      operators: { tokenDigests: [digestText('quickstart-operator')] },
      shutdown: { balancerLagMilliseconds: 0 }
    })
    routers.push(await serveRouter(settings, SILENT_LOGGER))
  }
  return routers
}

async function showPublish (platform: Platform, fleet: Fleet, routers: RunningRouter[]): Promise<void> {
  const keyValue = createEtcdKeyValue({ endpoints: [platform.keyValueUrl] })
  const startedAt = performance.now()
  const output = await publishCommand({ keyValue, random: createSystemRandom() }, fleet.manifest)
  check('wigeonctl publishes the manifest', output.code === 0, output.text)
  const isInForce = (): boolean => routers.every(running => running.router.isReady())
  while (!isInForce() && performance.now() - startedAt < IN_FORCE_TIMEOUT_MILLISECONDS) await pause(20)
  check('the manifest is in force at all routers', isInForce(), `after ${Math.round(performance.now() - startedAt)} ms`)
}

async function showStream (routers: RunningRouter[]): Promise<void> {
  const answer = await chat(routers[0])
  check('a chat answer streams through three stages of mixed accelerators', answer.text === expectedText(), answer.text)
}

async function showOrder (routers: RunningRouter[], fleet: Fleet): Promise<void> {
  const first = await book(routers[0])
  const second = await book(routers[1])
  const isSame = first.status === 201 && second.status === 201 && first.text === second.text
  check('a repair order sent twice with one key, to two routers, is answered twice', isSame, `${first.text} and ${second.text}`)
  check('and is booked once', fleet.orders.bookings.length === 1, `${fleet.orders.bookings.length} bookings`)
}

async function showStageFailure (routers: RunningRouter[], fleet: Fleet): Promise<void> {
  const answer = await chat(routers[0], index => {
    if (index === 5) killRunningStage(fleet)
  })
  const victim = fleet.engines.find(engine => engine.faults.isDead)
  check('a stage is killed during an answer', victim !== undefined, victim?.name ?? 'none')
  check('and the answer is complete nevertheless', answer.text === expectedText(), answer.text)
}

function killRunningStage (fleet: Fleet): void {
  const middleStages = fleet.engines.filter(engine => engine.name.endsWith('-2'))
    .sort((left, right) => right.ledger.length - left.ledger.length)
  const running = middleStages.find(engine => engine.report().running > 0 || engine.ledger.at(-1)?.index !== undefined)
  if (running !== undefined) running.faults.isDead = true
}

async function chat (running: RunningRouter | undefined, onToken: (index: number) => void = () => {}): Promise<{ text: string }> {
  const messages = [{ role: 'user', content: QUESTION }]
  const response = await post(running, '/v1/chat/completions', { model: MODEL.model, stream: true, messages })
  const decoder = new TextDecoder()
  let text = ''
  let pending = ''
  let tokens = 0
  let isFinished = false
  for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
    pending += decoder.decode(chunk, { stream: true })
    const events = pending.split('\n\n')
    pending = events.pop() ?? ''
    for (const event of events) {
      if (event === 'data: [DONE]') isFinished = true
      const content = /^data: (\{.*)$/m.exec(event)?.[1]
      const piece = content === undefined ? undefined : JSON.parse(content).choices?.[0]?.delta?.content
      if (typeof piece === 'string') {
        text += piece
        onToken(tokens)
        tokens += 1
      }
    }
  }
  return { text: isFinished ? text : `${text} (cut off)` }
}

async function book (running: RunningRouter | undefined): Promise<{ status: number, text: string }> {
  const response = await post(running, '/services/repair-orders/orders', { block: 7, trade: 'roofing' }, { 'idempotency-key': 'leak-7-1' })
  return { status: response.status, text: await response.text() }
}

function post (running: RunningRouter | undefined, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`http://${running?.settings.listen.callers}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${CALLER_KEY}`, ...headers },
    body: JSON.stringify(body)
  })
}

function expectedText (): string {
  return referenceAnswer(MODEL, LAYERS, `user: ${QUESTION}`, 256).map(token => token.text).join('')
}

function renderTarget (
  name: string, address: string, failureDomain: string, accelerator: string, layers: { from: number, to: number }
): string {
  return `[[targets]]
name = "${name}"
address = "${address}"
failureDomain = "${failureDomain}"
accelerator = "${accelerator}"
role = "${EngineRole.Both}"
serves = [{ model = "${MODEL.model}", version = "${MODEL.version}", layers = [${layers.from}, ${layers.to}] }]
`
}

function renderManifest (targets: string[], orderAddress: string): string {
  return `format = 1
failureDomains = [${FAILURE_DOMAINS.map(domain => `"${domain}"`).join(', ')}]

[[models]]
name = "${MODEL.model}"
layers = ${LAYERS}
versions = ["${MODEL.version}"]

${targets.join('\n')}
[[services]]
name = "repair-orders"
targets = [{ name = "orders-1", address = "${orderAddress}", failureDomain = "howrah" }]
operations = [
  { method = "POST", path = "/orders", idempotent = false },
  { method = "GET", path = "/jobs/*", idempotent = true }
]

[[workspaces]]
name = "repair-desk"
keyDigests = ["${digestText(CALLER_KEY)}"]
`
}

function check (what: string, isPassed: boolean, observed: string): void {
  printLine(`${isPassed ? 'ok  ' : 'FAIL'} ${what}: ${observed}`)
  if (!isPassed) failures.push(what)
}

function printLine (line: string): void {
  process.stdout.write(`${line}\n`)
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
