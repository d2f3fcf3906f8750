/**
 * A small fleet of relays over real sockets to callers and targets, with a store and datagrams in memory. Targets end and start again on
 * command of the test.
 */
import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createCallerListener, incarnationOf, splitAddress, type CallerListener, type Relay, type Target } from '@wigeonlead/relay'
import { createSeededRandom } from 'wigeonlead'
import { createTargetGates, type CutForm, type TargetGates } from './target-gates.js'
import { joinLinks } from './joined-links.js'
import { LoopbackUse, loopbackHost } from './loopback.js'
import { createRestoredStore, type RestoredStore } from './properties/restored-store.js'
import { testTarget } from './test-engine.js'
import { createStoreRelay } from './test-relay.js'

/** What a target does with a request; `crash` ends its process: all its connections are reset, and its port no longer listens. */
export type TargetBehaviour = (incoming: IncomingMessage, response: ServerResponse, crash: () => void) => void

/** A caller's view of an answer. */
export interface FleetAnswer {
  status: number
  headers: IncomingMessage['headers']
  body: string
  isComplete: boolean
}

/** The fleet and its controls. */
export interface Fleet {
  /** Sends a request to one VM, as a caller or as a peer that hands it over; by default one whose answer is a series of events. */
  call: (
    vm: number, headers: Record<string, string>, options?: { path?: string, body?: string, isHandedOver?: boolean }
  ) => Promise<FleetAnswer>
  /** Restarts the given VMs at the same moment; they keep nothing. */
  restart: (vms: readonly number[]) => Promise<void>
  /** Starts targets that have ended, as new incarnations, and waits until every VM lists them. */
  reviveTargets: () => Promise<void>
  /** Cuts VMs off from all targets, while callers, the store and the other VMs still reach them. The fleet must have gates. */
  cut: (vms: readonly number[], form: CutForm) => Promise<void>
  heal: (vms: readonly number[]) => Promise<void>
  /** Ends VMs for good. */
  kill: (vms: readonly number[]) => void
  store: RestoredStore
  relays: readonly Relay[]
}

interface TargetProcess {
  index: number
  server: Server
  target: Target
  isAlive: boolean
}

interface VmProcess {
  relay: Relay
  callers: CallerListener
  /** Takes requests that peers hand over. */
  handedOver: CallerListener
  address: string
}

const REPORT = '{"stalled":[],"slowness":1,"bornAtMilliseconds":1,"ordersAccepted":0}'

async function listen (server: Server, host: string, port = 0): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}

/** @returns different addresses for the peer listeners, whose ports are free. */
async function drawPeerAddresses (count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const addresses = await Promise.all(servers.map(async server => await listen(server, loopbackHost(LoopbackUse.Peers))))
  await Promise.all(servers.map(async server => await new Promise(resolve => { server.close(resolve) })))
  return addresses
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { setTimeout(resolve, 5) })
}

/**
 * Runs a test against a fleet of `vmCount` relays before `targetCount` targets.
 * @param options.service `model`, each target of which holds the whole model, or the plain service `desk`.
 * @param options.hasGates whether VMs can be cut off from the targets.
 * @param options.seed of the random numbers of each VM, so that VMs prefer different targets; by default these numbers are constant.
 * @param options.onNotify called with each datagram that a VM sends.
 */
export async function withFleet (
  vmCount: number, targetCount: number, behaviour: TargetBehaviour, use: (fleet: Fleet) => Promise<void>,
  { service = 'model', hasGates = false, seed, onNotify }: {
    service?: 'model' | 'desk', hasGates?: boolean, seed?: number, onNotify?: (method: string, parameters: unknown) => void
  } = {}
): Promise<void> {
  const store = createRestoredStore()
  const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`)
  const peerAddresses = await drawPeerAddresses(vmCount)
  const links = joinLinks(peerAddresses, undefined, onNotify)
  store.put('configuration', '1')
  const targets: TargetProcess[] = []
  for (let index = 0; index < targetCount; index++) {
    const server = createServer((incoming, response) => {
      incoming.resume()
      incoming.on('end', () => {
        if (incoming.url === '/report') response.end(REPORT)
        else behaviour(incoming, response, () => crash(targets[index]!))
      })
    })
    const layers = service === 'model' ? { from: 0, to: 80 } : undefined
    const target = testTarget(`t${index}`, layers, { service, address: await listen(server, loopbackHost(LoopbackUse.Targets)), acceleratorKind: undefined })
    targets.push({ index, server, target, isAlive: true })
    publish(targets[index]!)
  }
  const gates = new Map<string, TargetGates>()
  for (const name of hasGates ? names : []) {
    const ofVm = createTargetGates()
    await ofVm.open(targets.map(({ target }) => target.address))
    gates.set(name, ofVm)
  }
  const vms: VmProcess[] = []
  for (const name of names) vms.push(await startVm(name))
  await until(() => vms.every(({ relay }) => isServing(relay)))

  function publish ({ target }: TargetProcess): void {
    store.put(`targets/${target.id}`, JSON.stringify(target))
  }

  function crash (process: TargetProcess): void {
    process.isAlive = false
    process.server.close()
    process.server.closeAllConnections()
  }

  function isServing (relay: Relay): boolean {
    return relay.isReady() && targets.every(({ target }) => relay.directory.findIncarnation(incarnationOf(target)) !== undefined)
  }

  async function startVm (name: string): Promise<VmProcess> {
    const peerAddress = peerAddresses[names.indexOf(name)]!
    const relay = createStoreRelay(name, store, links.get(peerAddress)!, {
      peerAddress,
      addressOf: gates.get(name)?.through,
      nextFloat: seed === undefined ? undefined : createSeededRandom(seed + names.indexOf(name)).nextFloat
    })
    const onFault = (error: unknown): never => { throw error }
    const callers = createCallerListener(relay.handle, onFault)
    const handedOver = createCallerListener(relay.handle, onFault, { isHandedOver: true })
    const address = await listen(callers.server, '127.0.0.1')
    await listen(handedOver.server, ...splitAddress(peerAddress))
    relay.start()
    return { relay, callers, handedOver, address }
  }

  function stopVm ({ relay, callers, handedOver }: VmProcess): void {
    relay.stop()
    for (const { server } of [callers, handedOver]) {
      server.closeAllConnections()
      server.close()
    }
  }

  let nextRequest = 1
  const fleet: Fleet = {
    store,
    relays: new Proxy([], { get: (_, key) => Reflect.get(vms.map(({ relay }) => relay), key) }),
    call (vm, headers, { path = '/write/1', body = '', isHandedOver = false } = {}) {
      return new Promise((resolve, reject) => {
        const outgoing = request(`http://${isHandedOver ? peerAddresses[vm] : vms[vm]!.address}${path}`, {
          method: 'POST',
          agent: false,
          headers: { Host: 'a.example', 'X-Request': `r-${nextRequest++}`, 'X-Wait': '3000', Authorization: 'key-1', ...headers }
        }, incoming => {
          let body = ''
          incoming.on('data', chunk => { body += String(chunk) })
          incoming.on('error', () => {})
          incoming.on('close', () => resolve({
            status: incoming.statusCode!, headers: incoming.headers, body, isComplete: incoming.complete
          }))
        })
        outgoing.on('error', reject)
        outgoing.end(body)
      })
    },
    async restart (indexes) {
      for (const index of indexes) stopVm(vms[index]!)
      for (const index of indexes) vms[index] = await startVm(names[index]!)
      await until(() => vms.every(({ relay }) => isServing(relay)))
    },
    async cut (indexes, form) {
      for (const index of indexes) await gates.get(names[index]!)!.cut(form)
    },
    async heal (indexes) {
      for (const index of indexes) await gates.get(names[index]!)!.heal()
    },
    kill (indexes) {
      for (const index of indexes) stopVm(vms[index]!)
    },
    async reviveTargets () {
      for (const process of targets.filter(({ isAlive }) => !isAlive)) {
        await listen(process.server, ...splitAddress(process.target.address))
        process.isAlive = true
        process.target = { ...process.target, bornAtMilliseconds: process.target.bornAtMilliseconds + 1 }
        publish(process)
      }
      await until(() => vms.every(({ relay }) => isServing(relay)))
    }
  }
  try {
    await use(fleet)
  } finally {
    for (const vm of vms) stopVm(vm)
    for (const ofVm of gates.values()) ofVm.close()
    for (const { server, isAlive } of targets) {
      server.closeAllConnections()
      if (isAlive) server.close()
    }
  }
}
