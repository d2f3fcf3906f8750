/**
 * A fleet for experiments: real routers over in-memory stand-in engines, with lagging load reports and delayed links.
 */
import {
  FailureKind, PublishResult, Step, digestText, failed, manifestSchema, publishManifest, success,
  type Manifest, type PeerHandlers, type PeerPort, type ServicePort
} from '@wigeonlead/protocol'
import {
  checkSettings, createRouter, createSeededRandom, type PathChooser, type PathPolicyDependencies, type Router
} from 'wigeonlead'
import { createEngine, type Engine } from '../engine/core.js'
import { createMemoryEngines } from '../engine/memory.js'
import { createMemoryKeyValue } from '../platform/memory.js'
import { createKeyValueStore } from '../platform/store.js'
import { pause } from './clock.js'
import { DOMAINS, LAYERS, createHardware, linkMilliseconds, tokenRate, type HardwareTarget } from './hardware.js'

/** Options of a fleet. */
export interface FleetOptions {
  seed: number
  /** Age of the engines' load reports. */
  reportLagMilliseconds: number
  /** Names of the workspaces; the bearer key of each is its name. */
  workspaces: string[]
  /** Creates the path chooser of each router. By default, routers use their own. */
  createPathChooser?: (dependencies: PathPolicyDependencies) => PathChooser
  routersPerDomain?: number
  /** The targets; three kinds of accelerators in three failure domains by default. */
  hardware?: HardwareTarget[]
  /** Changes the manifest before it is published. */
  changeManifest?: (manifest: Manifest) => void
}

/** A running fleet. */
export interface Fleet {
  routers: Router[]
  engines: Map<string, Engine>
  hardware: HardwareTarget[]
  /** Sets the factor on the delays between two failure domains; 1 restores the normal delays. */
  setLinkDelayFactor: (from: string, to: string, factor: number) => void
  stop: () => void
}

/** The model that the fleet serves. */
export const MODEL = { model: 'estate-assistant', version: 'v1' }
const STARTUP_MILLISECONDS = 3000

/** Starts a fleet and gives its routers a fixed time to become ready. */
export async function startFleet (options: FleetOptions): Promise<Fleet> {
  const hardware = options.hardware ?? createHardware(options.reportLagMilliseconds)
  const engines = new Map(hardware.map(target => [target.name, createTargetEngine(target)]))
  const linkDelayFactors = new Map<string, number>()
  const keyValue = createMemoryKeyValue(createKeyValueStore())
  const manifest = createManifest(hardware, options.workspaces)
  options.changeManifest?.(manifest)
  const published = await publishManifest(keyValue, createSeededRandom(options.seed), manifest)
  if (published.kind !== PublishResult.Accepted) throw new Error('the manifest was not accepted')
  const peerHandlers = new Map<string, PeerHandlers>()
  const domainOf = new Map(hardware.map(target => [target.name, target.domain]))
  const routerDomains = DOMAINS.flatMap(domain => Array.from({ length: options.routersPerDomain ?? 1 }, () => domain))
  const addresses = routerDomains.map((_, position) => `127.0.0.1:${7000 + position}`)
  const routers = routerDomains.map((routerDomain, position) => {
    const delayMilliseconds = (from: string | undefined, to: string | undefined): number => {
      const [fromDomain, toDomain] = [domainOf.get(from ?? '') ?? routerDomain, domainOf.get(to ?? '') ?? routerDomain]
      return linkMilliseconds(fromDomain, toDomain) * (linkDelayFactors.get(`${fromDomain} ${toDomain}`) ?? 1)
    }
    const ports = {
      keyValue,
      vmList: { list: async () => success([]) },
      engines: createMemoryEngines(engines, { delayMilliseconds }),
      services: NO_SERVICES,
      peers: createMemoryPeers(peerHandlers, addresses[position] ?? ''),
      random: createSeededRandom(options.seed * 100 + position)
    }
    return createRouter(createSettings(routerDomain, addresses, position), ports, { createPathChooser: options.createPathChooser })
  })
  for (const router of routers) router.start()
  await pause(STARTUP_MILLISECONDS)
  return {
    routers,
    engines,
    hardware,
    setLinkDelayFactor (from, to, factor) {
      linkDelayFactors.set(`${from} ${to}`, factor)
      linkDelayFactors.set(`${to} ${from}`, factor)
    },
    stop: () => { for (const router of routers) router.halt() }
  }
}

function createTargetEngine (target: HardwareTarget): Engine {
  const servedParts = [{ ...MODEL, adapters: [], layers: { from: target.from, to: target.to } }]
  return createEngine({ name: target.name, held: servedParts, accelerator: target.timing })
}

function createManifest (hardware: HardwareTarget[], workspaces: string[]): Manifest {
  return manifestSchema.parse({
    format: 1,
    failureDomains: DOMAINS,
    models: [{ name: MODEL.model, layers: LAYERS, versions: [MODEL.version] }],
    targets: hardware.map((target, position) => ({
      name: target.name,
      address: `127.0.0.1:${9000 + position}`,
      failureDomain: target.domain,
      accelerator: target.kind,
      capacity: target.capacity,
      tokensPerSecond: tokenRate(target),
      serves: [{ ...MODEL, layers: [target.from, target.to] }]
    })),
    workspaces: workspaces.map(name => ({ name, keyDigests: [digestText(name)] })),
    links: DOMAINS.flatMap((from, position) => DOMAINS.slice(position + 1).map(to => ({
      from, to, delayMilliseconds: linkMilliseconds(from, to), megabytesPerSecond: 100
    })))
  })
}

function createSettings (failureDomain: string, addresses: string[], position: number) {
  const checked = checkSettings({
    node: { vm: `entry-${position}`, failureDomain },
    listen: { callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: addresses[position] },
    platform: { keyValue: ['http://127.0.0.1:3'], vmList: 'http://127.0.0.1:4' },
    peers: { seeds: addresses, secrets: [{ id: 'one', value: 'a-secret-of-the-bench' }] },
    operators: { tokenDigests: [digestText('operator')] }
  }, 'bench')
  if (!checked.ok) throw new Error(checked.faults.join('; '))
  return checked.settings
}

function createMemoryPeers (peerHandlers: Map<string, PeerHandlers>, ownAddress: string): PeerPort {
  return {
    serve: handlers => { peerHandlers.set(ownAddress, handlers) },
    async call (address, method, parameters) {
      const handler = peerHandlers.get(address)?.[method] as ((parameters: unknown, peer: string) => Promise<never>) | undefined
      if (handler === undefined) return failed({ kind: FailureKind.Unreachable, step: Step.Peer, peer: address, detail: 'no such peer' })
      return success(await handler(parameters, ownAddress))
    }
  }
}

const NO_SERVICES: ServicePort = { call: async () => { throw new Error('the experiments have no services') } }
