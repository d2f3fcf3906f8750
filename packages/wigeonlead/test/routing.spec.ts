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
import { createPrefixCacheIndex } from '../src/process/prefix-memory.js'
import { rendezvousOwner } from '../src/process/rendezvous.js'
import { createLoadReports, type LoadReports } from '../src/process/reports.js'
import { createRetryBudgets } from '../src/process/retry-budget.js'
import { TargetAvailability } from '../src/process/targets.js'
import { createConcurrencyWindow } from '../src/process/window.js'
import { cheapestPath } from '../src/request/index.js'
import { compileVersion, type CompiledVersion, type StageOption } from '../src/version/index.js'
import { createRoutingDependencies } from './routing-dependencies.js'

const LAYERS = 8
const MODEL = { model: 'm', version: 'v1' }
const REFUSED = { kind: FailureKind.Refused, step: Step.Engine, peer: 'x', detail: 'full' } as const

interface TargetSpec {
  name: string
  layers: [number, number]
  domain?: string
  role?: EngineRole
  capacity?: number
}

function createManifest (targetSpecs: TargetSpec[], extra: object = {}) {
  return manifestSchema.parse({
    format: 1,
    failureDomains: ['here', 'there'],
    models: [{ name: MODEL.model, layers: LAYERS, versions: [MODEL.version] }],
    targets: targetSpecs.map(({ name, layers, domain = 'here', role = EngineRole.Both, capacity = 4 }, position) => ({
      name, address: `127.0.0.1:${9000 + position}`, failureDomain: domain, accelerator: 'large', role, capacity, serves: [{ ...MODEL, layers }]
    })),
    workspaces: [{ name: 'w', keyDigests: ['0'.repeat(64)] }],
    links: [{ from: 'here', to: 'there', delayMilliseconds: 5, megabytesPerSecond: 10 }],
    ...extra
  })
}

function createVersion (targetSpecs: TargetSpec[]): CompiledVersion {
  return compileVersion({ generation: 1, parts: [], stops: [], nonce: 'n', publishedAtMilliseconds: 0 }, createManifest(targetSpecs))
}

const routing = suite('routing')

interface PathCase {
  name: string
  targetSpecs: TargetSpec[]
  /** Requests in flight at targets. */
  inFlight?: Record<string, number>
  suspect?: string[]
  failureScores?: Record<string, number>
  needsCapacity?: boolean
  workspaceDomains?: string[]
  /** Expected targets of the path; undefined if there must be no path. */
  path: string[] | undefined
}

const A: TargetSpec = { name: 'a', layers: [0, 4] }
const B: TargetSpec = { name: 'b', layers: [4, 8] }
const REMOTE: TargetSpec = { name: 'far', layers: [0, 8], domain: 'there' }
const PATH_CASES: PathCase[] = [
  { name: 'covers all layers in order', targetSpecs: [B, A], path: ['a', 'b'] },
  { name: 'no path if layers are missing', targetSpecs: [{ ...A, layers: [0, 3] }, B], path: undefined },
  { name: 'no path if stages overlap', targetSpecs: [{ ...A, layers: [0, 5] }, B], path: undefined },
  { name: 'prefers its own failure domain', targetSpecs: [A, B, { name: 'far', layers: [0, 8], domain: 'there', capacity: 4 }], path: ['a', 'b'] },
  {
    name: 'uses another failure domain when its own is full',
    targetSpecs: [A, B, { name: 'far', layers: [0, 8], domain: 'there' }],
    inFlight: { a: 4 },
    needsCapacity: true,
    path: ['far']
  },
  { name: 'stays within the failure domains of the workspace', targetSpecs: [A, B, REMOTE], workspaceDomains: ['there'], path: ['far'] },
  { name: 'no path outside the failure domains of the workspace, even when they are full', targetSpecs: [A, B, REMOTE], inFlight: { a: 4 }, needsCapacity: true, workspaceDomains: ['here'], path: undefined },
  { name: 'no path when all targets are full', targetSpecs: [A, B], inFlight: { b: 4 }, needsCapacity: true, path: undefined },
  { name: 'avoids a suspect target if another target serves its layers', targetSpecs: [A, B, { ...B, name: 'b2' }], inFlight: { b2: 3 }, suspect: ['b'], path: ['a', 'b2'] },
  { name: 'uses a suspect target if no other target serves its layers', targetSpecs: [A, B], suspect: ['b'], path: ['a', 'b'] },
  { name: 'avoids a target that failed for this request', targetSpecs: [A, B, { ...B, name: 'b2' }], failureScores: { b: 1 }, inFlight: { b2: 3 }, path: ['a', 'b2'] },
  { name: 'avoids engines whose role is prefill', targetSpecs: [A, B, { ...B, name: 'b2', role: EngineRole.Prefill }], inFlight: { b: 3 }, path: ['a', 'b'] },
  { name: 'prefers the less loaded target', targetSpecs: [A, B, { ...B, name: 'b2' }], inFlight: { b: 3 }, path: ['a', 'b2'] }
]
for (const { name, targetSpecs, inFlight = {}, suspect = [], failureScores = {}, needsCapacity, workspaceDomains, path } of PATH_CASES) {
  routing(`path: ${name}`, () => {
    const dependencies = createRoutingDependencies({ engines: createMemoryEngines(new Map()), manifest: createManifest(targetSpecs) })
    for (const [target, count] of Object.entries(inFlight)) for (let each = 0; each < count; each += 1) dependencies.targets.begin(target)
    for (const target of suspect) dependencies.targets.setState(target, 'suspect' as never)
    const model = dependencies.version.models.get(MODEL.model)!
    const chosen = dependencies.paths.choose({
      version: dependencies.version,
      model,
      reference: MODEL,
      prompt: 'p',
      workspace: { failureDomains: workspaceDomains },
      excluded: new Set(),
      failureScores: new Map(Object.entries(failureScores)),
      needsCapacity
    })
    assert.equal(chosen.ok ? chosen.value.map(stage => stage.target) : undefined, path)
  })
}

routing('a leaving target that becomes suspect stays leaving', () => {
  const { targets } = createRoutingDependencies({ engines: createMemoryEngines(new Map()), manifest: createManifest([A, B]) })
  targets.setState('a', MemberState.Leaving)
  targets.setState('a', MemberState.Suspect)
  assert.is(targets.availability('a'), TargetAvailability.Leaving)
})

routing('a target that lacks one layer range still serves its other ranges', () => {
  const manifest = createManifest([A, B])
  manifest.targets[0]!.serves.push({ ...MODEL, adapters: [], layers: [4, 8] })
  const dependencies = createRoutingDependencies({ engines: createMemoryEngines(new Map()), manifest })
  for (let each = 0; each < 3; each += 1) dependencies.targets.begin('b')
  dependencies.targets.recordHeldParts(createReport({ held: [{ ...MODEL, adapters: [], layers: { from: 0, to: 4 } }] }))
  const model = dependencies.version.models.get(MODEL.model)!
  const chosen = dependencies.paths.choose({ version: dependencies.version, model, reference: MODEL, prompt: 'p', excluded: new Set() })
  assert.equal(chosen.ok ? chosen.value.map(stage => stage.target) : undefined, ['a', 'b'])
})

routing('the search finds the cheapest path, compared with all possible paths', () => {
  const random = createSeededRandom(7)
  for (let turn = 0; turn < 200; turn += 1) {
    const targetSpecs = Array.from({ length: 9 }, (_, position): TargetSpec => {
      const from = Math.floor(random.nextFloat() * 4) * 2
      return { name: `t${position}`, layers: [from, from + 2 + Math.floor(random.nextFloat() * (LAYERS - from) / 2) * 2], domain: random.nextFloat() < 0.5 ? 'here' : 'there' }
    })
    const options = createVersion(targetSpecs.map(spec => ({ ...spec, layers: [spec.layers[0], Math.min(LAYERS, spec.layers[1])] }))).models.get('m')!.options
    const prices = new Map(options.map(option => [option, random.nextFloat()]))
    const costs = {
      stageCost: (option: StageOption) => prices.get(option) ?? 0,
      entryCost: (first: number) => first * 0.3,
      hopCost: (from: number, to: number) => Math.abs(from - to) * 0.4,
      returnCost: (last: number, first: number) => Math.abs(last - first) * 0.2
    }
    const costOfPath = (path: StageOption[]): number => path.reduce((sum, option, position) => {
      const before = path[position - 1]
      return sum + costs.stageCost(option) +
        (before === undefined ? costs.entryCost(option.domain) : costs.hopCost(before.domain, option.domain))
    }, costs.returnCost(path.at(-1)!.domain, path[0]!.domain))
    const listPathCosts = (at: number, stages: StageOption[]): number[] => at === LAYERS
      ? [costOfPath(stages)]
      : options.filter(option => option.from === at).flatMap(option => listPathCosts(option.to, [...stages, option]))
    const best = Math.min(Infinity, ...listPathCosts(0, []))
    assert.ok(Math.abs((cheapestPath(options, LAYERS, costs)?.cost ?? Infinity) - best) < 1e-9 || best === Infinity)
  }
})

routing('the retry budget is a share of first attempts and refills over time', () => withPausedClock(async clock => {
  const budget = createRetryBudgets()
  for (let count = 0; count < 1000; count += 1) budget.recordFirstTry('m')
  const retries = Array.from({ length: 1000 }, () => budget.tryTake('m')).filter(Boolean).length
  assert.ok(retries >= 90 && retries <= 110, String(retries))
  assert.is(budget.tryTake('m'), false)
  await clock.advance(5000)
  assert.is(budget.tryTake('m'), true)
  assert.is(budget.tryTake('m'), false)
}))

routing('repeated ejections last longer, and at most half of a group is ejected', () => withPausedClock(async clock => {
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

routing('a concurrency window narrows after refusals and slowness, and widens again', () => withPausedClock(async clock => {
  const window = createConcurrencyWindow(20)
  window.recordRefusal()
  assert.is(window.size(20), 14)
  window.recordRefusal()
  assert.is(window.size(20), 14, 'a second refusal shortly after does not narrow the window again')
  await clock.advance(500)
  window.recordSlowness(5)
  assert.is(window.size(20), 12)
  for (let count = 0; count < 500; count += 1) window.recordSlowness(1)
  assert.is(window.size(20), 20)
}))

routing('a refusal narrows the window of a target and does not make it suspect', () => {
  const dependencies = createRoutingDependencies({ engines: createMemoryEngines(new Map()), manifest: createManifest([A, B]) })
  assert.is(dependencies.targets.window('a', 10), 10)
  dependencies.targets.recordFailure('a', REFUSED)
  assert.is(dependencies.targets.window('a', 10), 7)
  assert.is(dependencies.targets.availability('a'), 'serving')
})

routing('the time estimates distinguish a slow target from the other targets of its paths', () => {
  const times = createPathTimes()
  const createComponent = (key: string) => ({ key, priorMilliseconds: 5 })
  const path = (first: string, second: string) => times.observePath([createComponent(first), createComponent(second)])
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

function createReport (changes: Partial<EngineReport>): EngineReport {
  return {
    target: 'a', incarnation: '1', atMilliseconds: Date.now(), running: 0, queued: 0, tokensPerSecond: 0, role: EngineRole.Both, held: [], cacheEvents: [], ...changes
  }
}

const stored = (sequence: number, prefix: string) => ({ sequence, kind: CacheEventKind.Stored, prefix })
const evicted = (sequence: number, prefix: string) => ({ sequence, kind: CacheEventKind.Evicted, prefix })
const CACHE_EVENT_CASES: Array<{ name: string, reports: Array<Partial<EngineReport>>, isCached: boolean }> = [
  { name: 'stored', reports: [{ cacheEvents: [stored(1, 'p')] }], isCached: true },
  { name: 'evicted', reports: [{ cacheEvents: [stored(1, 'p'), evicted(2, 'p')] }], isCached: false },
  { name: 'an old event received again', reports: [{ cacheEvents: [evicted(2, 'p')] }, { cacheEvents: [stored(1, 'p'), evicted(2, 'p')] }], isCached: false },
  { name: 'after a gap in the sequence', reports: [{ cacheEvents: [stored(1, 'p')] }, { cacheEvents: [stored(9, 'q')] }], isCached: true },
  { name: 'after a restart of the engine', reports: [{ cacheEvents: [stored(1, 'p')] }, { incarnation: '2' }], isCached: false }
]
for (const { name, reports, isCached } of CACHE_EVENT_CASES) {
  routing(`cache events: ${name}`, () => {
    const index = createPrefixCacheIndex()
    for (const report of reports) index.applyCacheEvents(createReport(report))
    assert.is(index.isLikelyCached('p', 'a'), isCached)
  })
}

interface Node {
  reports: LoadReports
  polled: string[]
}

function createNodes (count: number, targetSpecs: TargetSpec[], runningAtTarget: () => number): Node[] {
  const version = createVersion(targetSpecs)
  const network = new Map<string, PeerHandlers>()
  const members: MemberEntry[] = Array.from({ length: count }, (_, position) => ({
    address: `127.0.0.1:${7000 + position}`, vm: `vm${position}`, failureDomain: position % 2 === 0 ? 'here' : 'there', incarnation: 1, state: 'alive' as never, generation: 1
  }))
  return members.map((self, position) => {
    const polled: string[] = []
    const engines = {
      report: async ({ target }: { target: string }) => {
        polled.push(target)
        return success(createReport({ target, running: runningAtTarget() }))
      }
    } as unknown as EnginePort
    const peers = {
      serve: () => {},
      call: async (address: string, method: PeerMethod, parameters: { sender: string, reports: CompactReport[] }) =>
        success(await network.get(address)?.[PeerMethod.Reports]?.(parameters, self.address))
    } as unknown as PeerPort
    const reports = createLoadReports({
      engines,
      peers,
      random: createSeededRandom(position + 1),
      failureDomain: self.failureDomain,
      self: () => self,
      members: () => members,
      versionInForce: () => version,
      inFlightAt: () => 0,
      onReport: () => {}
    })
    network.set(self.address, reports.handlers)
    return { reports, polled }
  })
}

routing('each target is polled by one node of its failure domain, and every node receives its report', () => withPausedClock(async clock => {
  const targetSpecs = Array.from({ length: 20 }, (_, position): TargetSpec => ({ name: `t${position}`, layers: [0, 8], domain: position % 2 === 0 ? 'here' : 'there' }))
  const nodes = createNodes(8, targetSpecs, () => 3)
  for (const { reports } of nodes) reports.start()
  await clock.advance(1000)
  assert.equal(nodes.flatMap(node => node.polled).sort(), targetSpecs.map(spec => spec.name).sort())
  await clock.advance(9000)
  for (const { reports } of nodes) {
    for (const { name } of targetSpecs) assert.is(reports.load(name)?.running, 3)
    reports.stop()
  }
  await clock.advance(60_000)
  assert.is(nodes[0]?.reports.load('t0'), undefined, 'a stale report must not be used')
}))

routing('keys are spread over all owners, and only the keys of an owner that leaves are reassigned', () => {
  const owners = Array.from({ length: 10 }, (_, position) => `o${position}`)
  const keys = Array.from({ length: 1000 }, (_, position) => `k${position}`)
  const before = keys.map(key => rendezvousOwner(key, owners))
  const moved = keys.filter((key, position) => before[position] !== 'o3' && rendezvousOwner(key, owners.filter(owner => owner !== 'o3')) !== before[position])
  assert.is(moved.length, 0)
  for (const owner of owners) assert.ok(before.filter(each => each === owner).length > 50)
})

routing.run()
