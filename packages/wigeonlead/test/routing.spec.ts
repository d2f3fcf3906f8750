import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  CacheEventKind, EngineRole, FailureKind, MemberState, PeerMethod, Step, manifestSchema, success,
  type CompactReport, type EnginePort, type EngineReport, type MemberEntry, type PeerHandlers, type PeerPort
} from '@wigeonlead/protocol'
import { createMemoryEngines, withPausedClock } from '@wigeonlead/stand-ins'
import { createSeededRandom } from '../src/process/index.js'
import { FIRST_EJECTION_MILLISECONDS, createEjections } from '../src/process/ejections.js'
import { createPathTimes } from '../src/process/path-times.js'
import { createPrefixMemory } from '../src/process/prefix-memory.js'
import { rendezvousOwner } from '../src/process/rendezvous.js'
import { createReports, type Reports } from '../src/process/reports.js'
import { createRetryBudget } from '../src/process/retry-budget.js'
import { TargetAvailability } from '../src/process/targets.js'
import { createWindow } from '../src/process/window.js'
import { cheapestPath } from '../src/request/index.js'
import { compileVersion, type CompiledVersion, type StageOption } from '../src/version/index.js'
import { createRoutingParts } from './routing-parts.js'

const LAYERS = 8
const MODEL = { model: 'm', version: 'v1' }
const REFUSED = { kind: FailureKind.Refused, step: Step.Engine, peer: 'x', detail: 'full' } as const

interface Part {
  name: string
  layers: [number, number]
  domain?: string
  role?: EngineRole
  capacity?: number
}

function manifestOf (parts: Part[], extra: object = {}) {
  return manifestSchema.parse({
    format: 1,
    failureDomains: ['here', 'there'],
    models: [{ name: MODEL.model, layers: LAYERS, versions: [MODEL.version] }],
    targets: parts.map(({ name, layers, domain = 'here', role = EngineRole.Both, capacity = 4 }, position) => ({
      name, address: `127.0.0.1:${9000 + position}`, failureDomain: domain, accelerator: 'large', role, capacity, serves: [{ ...MODEL, layers }]
    })),
    workspaces: [{ name: 'w', keyDigests: ['0'.repeat(64)] }],
    links: [{ from: 'here', to: 'there', delayMilliseconds: 5, megabytesPerSecond: 10 }],
    ...extra
  })
}

function versionOf (parts: Part[]): CompiledVersion {
  return compileVersion({ generation: 1, parts: [], stops: [], nonce: 'n', publishedAtMilliseconds: 0 }, manifestOf(parts))
}

const routing = suite('routing')

interface PathCase {
  name: string
  parts: Part[]
  /** Targets in use, with how many requests each. */
  inUse?: Record<string, number>
  suspect?: string[]
  strikes?: Record<string, number>
  needsRoom?: boolean
  servedIn?: string[]
  path: string[] | undefined
}

const A: Part = { name: 'a', layers: [0, 4] }
const B: Part = { name: 'b', layers: [4, 8] }
const FAR: Part = { name: 'far', layers: [0, 8], domain: 'there' }
const PATHS: PathCase[] = [
  { name: 'covers all layers', parts: [B, A], path: ['a', 'b'] },
  { name: 'no path over a gap', parts: [{ ...A, layers: [0, 3] }, B], path: undefined },
  { name: 'no path over an overlap', parts: [{ ...A, layers: [0, 5] }, B], path: undefined },
  { name: 'own failure domain first', parts: [A, B, { name: 'far', layers: [0, 8], domain: 'there', capacity: 4 }], path: ['a', 'b'] },
  {
    name: 'spills over to another failure domain when its own is full',
    parts: [A, B, { name: 'far', layers: [0, 8], domain: 'there' }],
    inUse: { a: 4 },
    needsRoom: true,
    path: ['far']
  },
  { name: 'only where the workspace is served', parts: [A, B, FAR], servedIn: ['there'], path: ['far'] },
  { name: 'no spill over past where the workspace is served', parts: [A, B, FAR], inUse: { a: 4 }, needsRoom: true, servedIn: ['here'], path: undefined },
  { name: 'no path where all is full', parts: [A, B], inUse: { b: 4 }, needsRoom: true, path: undefined },
  { name: 'a suspect target only where nothing else serves', parts: [A, B, { ...B, name: 'b2' }], inUse: { b2: 3 }, suspect: ['b'], path: ['a', 'b2'] },
  { name: 'a suspect target where nothing else serves', parts: [A, B], suspect: ['b'], path: ['a', 'b'] },
  { name: 'a target that struck this request last', parts: [A, B, { ...B, name: 'b2' }], strikes: { b: 1 }, inUse: { b2: 3 }, path: ['a', 'b2'] },
  { name: 'engines for prefill only last', parts: [A, B, { ...B, name: 'b2', role: EngineRole.Prefill }], inUse: { b: 3 }, path: ['a', 'b'] },
  { name: 'the less loaded one', parts: [A, B, { ...B, name: 'b2' }], inUse: { b: 3 }, path: ['a', 'b2'] }
]
for (const { name, parts, inUse = {}, suspect = [], strikes = {}, needsRoom, servedIn, path } of PATHS) {
  routing(`path: ${name}`, () => {
    const made = createRoutingParts({ engines: createMemoryEngines(new Map()), manifest: manifestOf(parts) })
    for (const [target, count] of Object.entries(inUse)) for (let each = 0; each < count; each += 1) made.targets.begin(target)
    for (const target of suspect) made.targets.setState(target, 'suspect' as never)
    const model = made.version.models.get(MODEL.model)!
    const chosen = made.paths.choose({
      version: made.version,
      model,
      reference: MODEL,
      prompt: 'p',
      workspace: { failureDomains: servedIn },
      excluded: new Set(),
      strikes: new Map(Object.entries(strikes)),
      needsRoom
    })
    assert.equal(chosen.ok ? chosen.value.map(stage => stage.target) : undefined, path)
  })
}

routing('a leaving target that is suspected goes on leaving', () => {
  const { targets } = createRoutingParts({ engines: createMemoryEngines(new Map()), manifest: manifestOf([A, B]) })
  targets.setState('a', MemberState.Leaving)
  targets.setState('a', MemberState.Suspect)
  assert.is(targets.availability('a'), TargetAvailability.Leaving)
})

routing('a missing part of a target does not stand for its other parts', () => {
  const manifest = manifestOf([A, B])
  manifest.targets[0]!.serves.push({ ...MODEL, adapters: [], layers: [4, 8] })
  const made = createRoutingParts({ engines: createMemoryEngines(new Map()), manifest })
  for (let each = 0; each < 3; each += 1) made.targets.begin('b')
  made.targets.noteHeld(reportOf({ held: [{ ...MODEL, adapters: [], layers: { from: 0, to: 4 } }] }))
  const model = made.version.models.get(MODEL.model)!
  const chosen = made.paths.choose({ version: made.version, model, reference: MODEL, prompt: 'p', excluded: new Set() })
  assert.equal(chosen.ok ? chosen.value.map(stage => stage.target) : undefined, ['a', 'b'])
})

routing('the cheapest path is the cheapest of all paths', () => {
  const random = createSeededRandom(7)
  for (let turn = 0; turn < 200; turn += 1) {
    const parts = Array.from({ length: 9 }, (_, position): Part => {
      const from = Math.floor(random.nextFloat() * 4) * 2
      return { name: `t${position}`, layers: [from, from + 2 + Math.floor(random.nextFloat() * (LAYERS - from) / 2) * 2], domain: random.nextFloat() < 0.5 ? 'here' : 'there' }
    })
    const options = versionOf(parts.map(part => ({ ...part, layers: [part.layers[0], Math.min(LAYERS, part.layers[1])] }))).models.get('m')!.options
    const prices = new Map(options.map(option => [option, random.nextFloat()]))
    const costs = {
      stage: (option: StageOption) => prices.get(option) ?? 0,
      enter: (first: number) => first * 0.3,
      pass: (from: number, to: number) => Math.abs(from - to) * 0.4,
      close: (last: number, first: number) => Math.abs(last - first) * 0.2
    }
    const priceOf = (path: StageOption[]): number => path.reduce((sum, option, place) => {
      const before = path[place - 1]
      return sum + costs.stage(option) + (before === undefined ? costs.enter(option.domain) : costs.pass(before.domain, option.domain))
    }, costs.close(path.at(-1)!.domain, path[0]!.domain))
    const all = (at: number, so: StageOption[]): number[] => at === LAYERS
      ? [priceOf(so)]
      : options.filter(option => option.from === at).flatMap(option => all(option.to, [...so, option]))
    const best = Math.min(Infinity, ...all(0, []))
    assert.ok(Math.abs((cheapestPath(options, LAYERS, costs)?.cost ?? Infinity) - best) < 1e-9 || best === Infinity)
  }
})

routing('retries are a share of first tries', () => withPausedClock(async clock => {
  const budget = createRetryBudget()
  for (let count = 0; count < 1000; count += 1) budget.recordFirstTry('m')
  const retries = Array.from({ length: 1000 }, () => budget.take('m')).filter(Boolean).length
  assert.ok(retries >= 90 && retries <= 110, String(retries))
  assert.is(budget.take('m'), false)
  await clock.advance(5000)
  assert.is(budget.take('m'), true)
  assert.is(budget.take('m'), false)
}))

routing('ejections grow, and spare half of a group', () => withPausedClock(async clock => {
  const group = ['a', 'b', 'c', 'd']
  const ejections = createEjections(() => group)
  for (const target of group) ejections.eject(target)
  assert.equal(group.filter(ejections.isEjected), ['a', 'b'])
  await clock.advance(FIRST_EJECTION_MILLISECONDS)
  assert.is(ejections.isEjected('a'), false)
  ejections.eject('a')
  await clock.advance(FIRST_EJECTION_MILLISECONDS)
  assert.is(ejections.isEjected('a'), true)
  await clock.advance(FIRST_EJECTION_MILLISECONDS)
  assert.is(ejections.isEjected('a'), false)
}))

routing('a window narrows at refusals and lag, and widens again', () => withPausedClock(async clock => {
  const window = createWindow(20)
  window.recordRefusal()
  assert.is(window.size(20), 14)
  window.recordRefusal()
  assert.is(window.size(20), 14, 'one narrowing at a time')
  await clock.advance(500)
  window.recordPace(5)
  assert.is(window.size(20), 12)
  for (let count = 0; count < 500; count += 1) window.recordPace(1)
  assert.is(window.size(20), 20)
}))

routing('a refusal narrows a window and suspects nothing', () => {
  const made = createRoutingParts({ engines: createMemoryEngines(new Map()), manifest: manifestOf([A, B]) })
  assert.is(made.targets.window('a', 10), 10)
  made.targets.recordFailure('a', REFUSED)
  assert.is(made.targets.window('a', 10), 7)
  assert.is(made.targets.availability('a'), 'serving')
})

routing('a slow part of paths is told from its companions', () => {
  const times = createPathTimes()
  const part = (key: string) => ({ key, priorMilliseconds: 5 })
  const path = (first: string, second: string) => times.follow([part(first), part(second)])
  for (let round = 0; round < 300; round += 1) {
    path('slow', 'x').record(55)
    path('slow', 'y').record(55)
    path('z', 'x').record(10)
    path('z', 'y').record(10)
  }
  assert.ok((times.estimate('slow') ?? 0) > 40)
  assert.ok((times.estimate('x') ?? 99) < 12)
  assert.ok((times.estimate('y') ?? 99) < 12)
})

function reportOf (changes: Partial<EngineReport>): EngineReport {
  return {
    target: 'a', incarnation: '1', atMilliseconds: Date.now(), running: 0, queued: 0, tokensPerSecond: 0, role: EngineRole.Both, held: [], cacheEvents: [], ...changes
  }
}

const stored = (sequence: number, prefix: string) => ({ sequence, kind: CacheEventKind.Stored, prefix })
const evicted = (sequence: number, prefix: string) => ({ sequence, kind: CacheEventKind.Evicted, prefix })
const CACHE_EVENTS: Array<{ name: string, reports: Array<Partial<EngineReport>>, isHeld: boolean }> = [
  { name: 'stored', reports: [{ cacheEvents: [stored(1, 'p')] }], isHeld: true },
  { name: 'evicted', reports: [{ cacheEvents: [stored(1, 'p'), evicted(2, 'p')] }], isHeld: false },
  { name: 'seen again', reports: [{ cacheEvents: [evicted(2, 'p')] }, { cacheEvents: [stored(1, 'p'), evicted(2, 'p')] }], isHeld: false },
  { name: 'after a gap', reports: [{ cacheEvents: [stored(1, 'p')] }, { cacheEvents: [stored(9, 'q')] }], isHeld: true },
  { name: 'after a restart', reports: [{ cacheEvents: [stored(1, 'p')] }, { incarnation: '2' }], isHeld: false }
]
for (const { name, reports, isHeld } of CACHE_EVENTS) {
  routing(`cache events: ${name}`, () => {
    const memory = createPrefixMemory()
    for (const report of reports) memory.learn(reportOf(report))
    assert.is(memory.isHeld('p', 'a'), isHeld)
  })
}

interface Node {
  reports: Reports
  polled: string[]
}

function createNodes (count: number, parts: Part[], running: () => number): Node[] {
  const version = versionOf(parts)
  const network = new Map<string, PeerHandlers>()
  const members: MemberEntry[] = Array.from({ length: count }, (_, position) => ({
    address: `127.0.0.1:${7000 + position}`, vm: `vm${position}`, failureDomain: position % 2 === 0 ? 'here' : 'there', incarnation: 1, state: 'alive' as never, generation: 1
  }))
  return members.map((self, position) => {
    const polled: string[] = []
    const engines = {
      report: async ({ target }: { target: string }) => {
        polled.push(target)
        return success(reportOf({ target, running: running() }))
      }
    } as unknown as EnginePort
    const peers = {
      serve: () => {},
      call: async (address: string, method: PeerMethod, parameters: { sender: string, reports: CompactReport[] }) =>
        success(await network.get(address)?.[PeerMethod.Reports]?.(parameters, self.address))
    } as unknown as PeerPort
    const reports = createReports({
      engines,
      peers,
      random: createSeededRandom(position + 1),
      failureDomain: self.failureDomain,
      self: () => self,
      members: () => members,
      current: () => version,
      inFlightAt: () => 0,
      onReport: () => {}
    })
    network.set(self.address, reports.handlers)
    return { reports, polled }
  })
}

routing('each target is polled by one node of its failure domain, and every node hears of it', () => withPausedClock(async clock => {
  const parts = Array.from({ length: 20 }, (_, position): Part => ({ name: `t${position}`, layers: [0, 8], domain: position % 2 === 0 ? 'here' : 'there' }))
  const nodes = createNodes(8, parts, () => 3)
  for (const { reports } of nodes) reports.start()
  await clock.advance(1000)
  assert.equal(nodes.flatMap(node => node.polled).sort(), parts.map(part => part.name).sort())
  await clock.advance(9000)
  for (const { reports } of nodes) {
    for (const { name } of parts) assert.is(reports.load(name)?.running, 3)
    reports.stop()
  }
  await clock.advance(60_000)
  assert.is(nodes[0]?.reports.load('t0'), undefined, 'an old report is not used')
}))

routing('few keys move when an owner leaves', () => {
  const owners = Array.from({ length: 10 }, (_, position) => `o${position}`)
  const keys = Array.from({ length: 1000 }, (_, position) => `k${position}`)
  const before = keys.map(key => rendezvousOwner(key, owners))
  const moved = keys.filter((key, position) => before[position] !== 'o3' && rendezvousOwner(key, owners.filter(owner => owner !== 'o3')) !== before[position])
  assert.is(moved.length, 0)
  for (const owner of owners) assert.ok(before.filter(each => each === owner).length > 50)
})

routing.run()
