/**
 * Test fixture: a router on in-memory ports, with one published manifest, behind a real callers' HTTP listener on the loopback interface.
 */
import type { AddressInfo } from 'node:net'
import {
  FailureKind, Step, VmState, checkManifestText, digestText, failed, publishManifest, success,
  type ModelPart, type PeerPort, type VmListPort
} from '@wigeonlead/protocol'
import {
  createEngine, createKeyValueStore, createMemoryEngines, createMemoryKeyValue, createOrderService, startOrderServer,
  type Engine, type KeyValueStore, type OrderService, type RunningServer
} from '@wigeonlead/stand-ins'
import { createCallerListener, createHttpServices } from '../src/connection/index.js'
import { createRouter, createSeededRandom, settingsSchema, type Router, type SettingsInput } from '../src/process/index.js'

export const MODEL = { model: 'assistant', version: 'v1' }
export const LAYERS = 8
export const WORKSPACE_KEY = 'key-of-the-repair-desk'
export const RESTRICTED_KEY = 'key-of-a-workspace-without-anything'

/** A running fixture. */
export interface RouterFixture {
  address: string
  router: Router
  engines: Map<string, Engine>
  orders: OrderService
  store: KeyValueStore
  close: () => Promise<void>
}

/** Starts the fixture. @param callers overrides the settings of the callers' listener. */
export async function startRouterFixture (callers: SettingsInput['callers'] = {}): Promise<RouterFixture> {
  const store = createKeyValueStore()
  const keyValue = createMemoryKeyValue(store)
  const orders = createOrderService()
  const orderServer = await startOrderServer(orders)
  const engines = createEngines()
  const settings = settingsSchema.parse({
    node: { vm: 'entry-1', failureDomain: 'howrah' },
    listen: { callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: '127.0.0.1:3' },
    platform: { keyValue: ['http://127.0.0.1:4'], vmList: 'http://127.0.0.1:5' },
    peers: { secrets: [{ id: 'first', value: 'a secret of the tests' }] },
    operators: { tokenDigests: [digestText('token')] },
    callers,
    shutdown: { balancerLagMilliseconds: 0 }
  })
  const random = createSeededRandom(7)
  const router = createRouter(settings, {
    keyValue,
    vmList: SINGLE_VM_LIST,
    engines: createMemoryEngines(engines),
    services: createHttpServices(),
    peers: UNREACHABLE_PEERS,
    random
  })
  const check = checkManifestText(renderManifest(orderServer))
  if (!check.ok) throw new Error(JSON.stringify(check.faults))
  await publishManifest(keyValue, random, check.manifest)
  router.start()
  while (!router.isReady()) await new Promise(resolve => setImmediate(resolve))
  const listener = createCallerListener(settings.callers, router.handle)
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
    router,
    engines,
    orders,
    store,
    async close () {
      router.halt()
      listener.closeAllConnections()
      await new Promise(resolve => listener.close(resolve))
      await orderServer.close()
    }
  }
}

const SINGLE_VM_LIST: VmListPort = {
  list: async () => success([{ name: 'entry-1', address: '127.0.0.1', failureDomain: 'howrah', state: VmState.Live, peerPort: 3 }])
}

const UNREACHABLE_PEERS: PeerPort = {
  call: async address => failed({ kind: FailureKind.Unreachable, step: Step.Peer, peer: address, detail: 'this fixture has no peers' }),
  serve: () => {}
}

function createEngines (): Map<string, Engine> {
  const names = ['one-first', 'one-second', 'two-first', 'two-second']
  return new Map(names.map(name => {
    const layers = name.endsWith('first') ? { from: 0, to: 4 } : { from: 4, to: LAYERS }
    const held: ModelPart = { ...MODEL, adapters: ['trades'], layers }
    return [name, createEngine({ name, held: [held], stepMilliseconds: 1 })]
  }))
}

function renderManifest (orderServer: RunningServer): string {
  const targets = ['one', 'two'].flatMap((replica, index) => ['first', 'second'].map((stage, position) => `
[[targets]]
name = "${replica}-${stage}"
address = "127.0.0.1:${9000 + index * 2 + position}"
failureDomain = "howrah"
accelerator = "large"
serves = [{ model = "assistant", version = "v1", adapters = ["trades"], layers = [${position * 4}, ${position * 4 + 4}] }]`))
  return `format = 1
failureDomains = ["howrah"]

[[models]]
name = "assistant"
layers = ${LAYERS}
versions = ["v1"]
adapters = ["trades"]
${targets.join('\n')}

[[services]]
name = "repair-orders"
targets = [{ name = "orders-1", address = "${orderServer.address}", failureDomain = "howrah" }]
maximumBodyBytes = 2000
operations = [
  { method = "POST", path = "/orders", idempotent = false },
  { method = "GET", path = "/jobs/*", idempotent = true }
]

[[workspaces]]
name = "repair-desk"
keyDigests = ["${digestText(WORKSPACE_KEY)}"]

[[workspaces]]
name = "without-anything"
keyDigests = ["${digestText(RESTRICTED_KEY)}"]
models = []
services = []
`
}
