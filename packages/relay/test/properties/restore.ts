/**
 * A fleet of relays while the store is restored from older copies, VMs are cut off and restarted, configurations are published and targets
 * leave. Checks the promises to callers, operators and targets.
 */
import fc from 'fast-check'
import { install, type Clock } from '@sinonjs/fake-timers'
import * as assert from 'uvu/assert'
import { OrderResult, ProbeResult, incarnationOf, type EngineClient, type Relay, type Target } from '@wigeonlead/relay'
import { joinLinks } from '../joined-links.js'
import { testTarget } from '../test-engine.js'
import { createStoreRelay } from '../test-relay.js'
import { createRestoredStore, type RestoredStore } from './restored-store.js'

/** Seed and number of sequences. */
export interface PropertyRuns {
  seed: number
  runs: number
}

const VMS = ['vm-0', 'vm-1', 'vm-2']
const TARGETS = ['t1', 't2', 't3']
const REVOKE_MILLISECONDS = 5000
/** A target whose leaving a VM has heard of must not be used there later than this, milliseconds. */
const LEAVE_MILLISECONDS = 2000
/** Operators and targets write again what a restored store lacks within this time, milliseconds; given by the platform's documentation. */
const REWRITE_MILLISECONDS = 1900
/** The platform removes the entry of a target that has ended within this time after a restore, milliseconds. */
const LAPSE_MILLISECONDS = 3600
const STEP_MILLISECONDS = 50
const SETTLE_MILLISECONDS = 6000

const EVENT = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pass' as const), milliseconds: fc.integer({ min: 50, max: 3000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('publish' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restore' as const), age: fc.integer({ min: 100, max: 12_000 }), away: fc.integer({ min: 100, max: 7000 })
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cut' as const), vm: fc.nat(2), fromPeers: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), vm: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), target: fc.nat(2) }) }
)

interface VmState {
  relay: Relay
  highestVersion: number
  /** Monotonic time at which this process first heard that an incarnation leaves, milliseconds. */
  heardLeavingAt: Map<string, number>
}

interface World {
  clock: Clock
  store: RestoredStore
  vms: Map<string, VmState>
  cutFromPeers: Set<string>
  /** Time of the first acknowledgement of each version, milliseconds; the index is the version. */
  acknowledgedAt: number[]
  targets: Map<string, { target: Target, isGone: boolean }>
  restoring: number
}

function writeTarget (world: World, id: string): void {
  const state = world.targets.get(id)!
  if (!state.isGone) world.store.put(`targets/${id}`, JSON.stringify(state.target))
}

/** @returns calls to engines that are answered at once, on the paused clock: a target answers until it is gone. */
function memoryEngines (world: World): EngineClient {
  const isRunning = async ({ id }: Target): Promise<boolean> => world.targets.get(id)?.isGone === false
  return {
    report: async () => undefined,
    probe: async target => await isRunning(target) ? ProbeResult.Reachable : ProbeResult.Refused,
    isReachable: isRunning,
    isAnswering: isRunning,
    hasEnded: async target => !await isRunning(target),
    place: async () => OrderResult.Unknown,
    moveRequest: async () => ({ isAccepted: false, status: 0, isUnknown: false })
  }
}

function startVm (world: World, name: string, links: ReturnType<typeof joinLinks>): void {
  const relay = createStoreRelay(name, world.store, links.get(name)!, { engines: memoryEngines(world) })
  world.vms.set(name, { relay, highestVersion: -1, heardLeavingAt: new Map() })
  relay.start()
}

/** @returns the number of VMs that hold the coordinator lease. */
function checkPromises (world: World): number {
  const now = performance.now()
  let coordinators = 0
  for (const [name, vm] of world.vms) {
    const { relay } = vm
    void relay.isReady()
    const version = relay.configurationState.current()?.configuration.version ?? -1
    assert.ok(version >= vm.highestVersion, `${name}: version ${version} after ${vm.highestVersion}`)
    vm.highestVersion = version
    const newerAt = world.acknowledgedAt[version + 1]
    if (newerAt !== undefined && now - newerAt > REVOKE_MILLISECONDS) {
      assert.not(relay.configurationState.areKeysFresh(), `${name}: keys of version ${version} ${Math.round(now - newerAt)} ms after the next one`)
    }
    const usable = new Set(relay.directory.usable('model').map(incarnationOf))
    for (const incarnation of relay.directory.leavingIncarnations()) {
      if (!vm.heardLeavingAt.has(incarnation)) vm.heardLeavingAt.set(incarnation, now)
    }
    for (const [incarnation, heardAt] of vm.heardLeavingAt) {
      assert.ok(now - heardAt <= LEAVE_MILLISECONDS || !usable.has(incarnation), `${name}: ${incarnation} leaves and is in use`)
    }
    if (/is_coordinator\S* 1/.test(relay.metrics.render())) coordinators += 1
  }
  assert.ok(coordinators <= 1, `${coordinators} coordinators`)
  return coordinators
}

async function advance (world: World, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    await world.clock.tickAsync(STEP_MILLISECONDS)
    world.store.expireLeases()
    checkPromises(world)
  }
}

async function restore (world: World, ageMilliseconds: number, awayMilliseconds: number): Promise<void> {
  if (world.restoring > 0) return
  world.restoring += 1
  await world.store.restore(ageMilliseconds, awayMilliseconds)
  setTimeout(() => {
    world.store.put('configuration', String(world.acknowledgedAt.length - 1))
    for (const id of TARGETS) writeTarget(world, id)
    world.restoring -= 1
  }, REWRITE_MILLISECONDS)
  setTimeout(() => {
    for (const [id, { isGone }] of world.targets) if (isGone) world.store.remove(`targets/${id}`)
  }, LAPSE_MILLISECONDS)
}

function leave (world: World, id: string): void {
  const state = world.targets.get(id)!
  if (state.isGone || world.restoring > 0) return
  state.target = { ...state.target, isLeaving: true }
  writeTarget(world, id)
  setTimeout(() => {
    if (world.restoring > 0) return
    state.isGone = true
    world.store.remove(`targets/${id}`)
  }, LEAVE_MILLISECONDS)
}

/** Checks the promises in random sequences of restores, cuts, restarts, publications and leavings. */
export async function checkRestores ({ seed, runs }: PropertyRuns): Promise<void> {
  await fc.assert(fc.asyncProperty(fc.array(EVENT, { minLength: 4, maxLength: 14 }), async events => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
    const world: World = {
      clock, store: createRestoredStore(), vms: new Map(), cutFromPeers: new Set(), acknowledgedAt: [], targets: new Map(), restoring: 0
    }
    const links = joinLinks(VMS, (from, to) => world.cutFromPeers.has(from) || world.cutFromPeers.has(to))
    try {
      await clock.tickAsync(10_000)
      world.acknowledgedAt.push(performance.now())
      world.store.put('configuration', '0')
      for (const id of TARGETS) {
        world.targets.set(id, { target: testTarget(id, { from: 0, to: 80 }), isGone: false })
        writeTarget(world, id)
      }
      for (const name of VMS) startVm(world, name, links)
      await advance(world, SETTLE_MILLISECONDS)
      for (const event of events) {
        if (event.kind === 'pass') await advance(world, event.milliseconds)
        if (event.kind === 'publish' && world.restoring === 0) {
          world.store.put('configuration', String(world.acknowledgedAt.length))
          world.acknowledgedAt.push(performance.now())
        }
        if (event.kind === 'restore') void restore(world, event.age, event.away)
        if (event.kind === 'cut') {
          world.store.setCut(VMS[event.vm]!, true)
          if (event.fromPeers) world.cutFromPeers.add(VMS[event.vm]!)
        }
        if (event.kind === 'heal') {
          for (const name of VMS) world.store.setCut(name, false)
          world.cutFromPeers.clear()
        }
        if (event.kind === 'restart') {
          world.vms.get(VMS[event.vm]!)!.relay.stop()
          startVm(world, VMS[event.vm]!, links)
        }
        if (event.kind === 'leave') leave(world, TARGETS[event.target]!)
      }
      for (const name of VMS) world.store.setCut(name, false)
      world.cutFromPeers.clear()
      await advance(world, 2 * SETTLE_MILLISECONDS)
      assert.is(checkPromises(world), 1, 'one coordinator')
      for (const [name, { relay }] of world.vms) {
        assert.is(relay.configurationState.current()?.configuration.version, world.acknowledgedAt.length - 1, `${name}: newest version in use`)
        assert.ok(relay.configurationState.areKeysFresh(), `${name}: keys are accepted again`)
        const expected = [...world.targets].filter(([, { target, isGone }]) => !isGone && !target.isLeaving).map(([id]) => id).sort()
        assert.equal(relay.directory.usable('model').map(({ id }) => id).sort(), expected, name)
      }
    } finally {
      for (const { relay } of world.vms.values()) relay.stop()
      clock.uninstall()
    }
  }), { numRuns: runs, seed })
}
