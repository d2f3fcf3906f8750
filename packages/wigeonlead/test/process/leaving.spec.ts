import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  FailureKind, MemberState, Step, StopSubject, VmState, failed, manifestSchema, success,
  type MemberEntry, type PlannedStop, type TargetEvent, type VmEntry
} from '@wigeonlead/protocol'
import { withPausedClock, type PausedClock } from '@wigeonlead/stand-ins'
import { createLeavingTracker, createVmListView, mergeVmList, vmListIntervalMilliseconds, type LeavingTracker, type TargetAnnouncements } from '../../src/process/leaving/index.js'
import { SILENT_LOGGER } from '../../src/process/logging.js'
import { compileVersion, type CompiledVersion } from '../../src/version/index.js'

const NODES = 5
const GOSSIP_MILLISECONDS = 1000
const PROPAGATION_MILLISECONDS = 3000
const STOP_DELAY_MILLISECONDS = 60_000

/** Planned stops and leaving VMs, and the targets that every entry VM must then see as leaving. */
interface Case {
  name: string
  stops: Array<{ subject: StopSubject, name: string, fromMilliseconds: number }>
  leavingVms: string[]
  isVmListUnreachable?: boolean
  /** Targets that are leaving once the changes have spread. */
  expected: string[]
}

const CASES: Case[] = [
  { name: 'no stop and no leaving VM', stops: [], leavingVms: [], expected: [] },
  {
    name: 'a planned stop of a target',
    stops: [{ subject: StopSubject.Target, name: 'one', fromMilliseconds: 0 }],
    leavingVms: [],
    expected: ['one']
  },
  {
    name: 'a planned stop that has not begun',
    stops: [{ subject: StopSubject.Target, name: 'one', fromMilliseconds: STOP_DELAY_MILLISECONDS }],
    leavingVms: [],
    expected: []
  },
  {
    name: 'a planned stop of a VM',
    stops: [{ subject: StopSubject.Vm, name: 'vm-1', fromMilliseconds: 0 }],
    leavingVms: [],
    expected: ['one', 'two']
  },
  {
    name: 'a planned stop of an unknown VM',
    stops: [{ subject: StopSubject.Vm, name: 'vm-9', fromMilliseconds: 0 }],
    leavingVms: [],
    expected: []
  },
  {
    name: 'a planned stop of a target of a service',
    stops: [{ subject: StopSubject.Target, name: 'repairs-1', fromMilliseconds: 0 }],
    leavingVms: [],
    expected: ['repairs-1']
  },
  { name: 'a VM that is listed as leaving', stops: [], leavingVms: ['vm-2'], expected: ['repairs-1', 'three'] },
  {
    name: 'both',
    stops: [{ subject: StopSubject.Target, name: 'one', fromMilliseconds: 0 }],
    leavingVms: ['vm-2'],
    expected: ['one', 'repairs-1', 'three']
  },
  {
    name: 'a planned stop of a target while the VM list is unreachable',
    stops: [{ subject: StopSubject.Target, name: 'one', fromMilliseconds: 0 }],
    leavingVms: ['vm-2'],
    isVmListUnreachable: true,
    expected: ['one']
  }
]

interface Fleet {
  nodes: Array<{ leaving: LeavingTracker, version: CompiledVersion, states: Map<string, MemberState>, ownStopCalls: number }>
  vms: VmEntry[]
  pollCount: number
  isVmListUnreachable: boolean
  /** Announces by gossip that a target is suspect. */
  suspect: (target: string) => void
  /** Publishes planned stops to the given nodes, or to all. */
  publish: (stops: PlannedStop[], nodes?: number[]) => void
}

const leavingTests = suite('leaving targets')
for (const row of CASES) {
  leavingTests(`${row.name}: the expected targets are leaving within 3 s, and serve again within 3 s after all stops and departures are revoked`, () => withFleet(async (fleet, clock) => {
    fleet.isVmListUnreachable = row.isVmListUnreachable === true
    fleet.publish(row.stops.map(toStop))
    for (const vm of fleet.vms) vm.state = row.leavingVms.includes(vm.name) ? VmState.Leaving : VmState.Live
    await clock.advance(PROPAGATION_MILLISECONDS)
    for (const node of fleet.nodes) assert.equal(leavingAt(node), row.expected)
    fleet.publish([])
    for (const vm of fleet.vms) vm.state = VmState.Live
    await clock.advance(PROPAGATION_MILLISECONDS)
    for (const node of fleet.nodes) assert.equal(leavingAt(node), [])
  }))
}

leavingTests('a planned stop begins at its time on every node', () => withFleet(async (fleet, clock) => {
  fleet.publish([toStop({ subject: StopSubject.Target, name: 'one', fromMilliseconds: STOP_DELAY_MILLISECONDS })])
  await clock.advance(STOP_DELAY_MILLISECONDS - 1)
  assert.equal(fleet.nodes.map(leavingAt), Array(NODES).fill([]))
  await clock.advance(1000)
  assert.equal(fleet.nodes.map(leavingAt), Array(NODES).fill(['one']))
}))

leavingTests('a node that cannot reach the key-value service learns of a planned stop by gossip', () => withFleet(async (fleet, clock) => {
  fleet.publish([toStop({ subject: StopSubject.Target, name: 'one', fromMilliseconds: 0 })], [0, 1, 2, 3])
  await clock.advance(PROPAGATION_MILLISECONDS)
  assert.equal(fleet.nodes.map(leavingAt), Array(NODES).fill(['one']))
}))

leavingTests('a leaving VM that is no longer listed stays leaving until it is listed as live', () => withFleet(async (fleet, clock) => {
  fleet.vms[1]!.state = VmState.Leaving
  await clock.advance(PROPAGATION_MILLISECONDS)
  const [gone] = fleet.vms.splice(1, 1)
  await clock.advance(600_000)
  assert.equal(fleet.nodes.map(leavingAt), Array(NODES).fill(['repairs-1', 'three']))
  fleet.vms.push({ ...gone!, state: VmState.Live })
  await clock.advance(PROPAGATION_MILLISECONDS)
  assert.equal(fleet.nodes.map(leavingAt), Array(NODES).fill([]))
}))

leavingTests('a leaving target that becomes suspect stays leaving', () => withFleet(async (fleet, clock) => {
  fleet.publish([toStop({ subject: StopSubject.Target, name: 'one', fromMilliseconds: 0 })])
  await clock.advance(PROPAGATION_MILLISECONDS)
  fleet.suspect('one')
  await clock.advance(PROPAGATION_MILLISECONDS)
  assert.equal(fleet.nodes.map(leavingAt), Array(NODES).fill(['one']))
}))

leavingTests('the own-stop callback runs once, when the planned stop of the entry VM begins, and on that VM only', () => withFleet(async (fleet, clock) => {
  fleet.publish([toStop({ subject: StopSubject.Vm, name: 'entry-3', fromMilliseconds: STOP_DELAY_MILLISECONDS })])
  await clock.advance(STOP_DELAY_MILLISECONDS - 1)
  assert.equal(fleet.nodes.map(node => node.ownStopCalls), [0, 0, 0, 0, 0])
  await clock.advance(STOP_DELAY_MILLISECONDS)
  assert.equal(fleet.nodes.map(node => node.ownStopCalls), [0, 0, 0, 1, 0])
}))

leavingTests('two nodes of a failure domain poll the VM list, each every 2 s', () => withFleet(async (fleet, clock) => {
  await clock.advance(10_000)
  const before = fleet.pollCount
  await clock.advance(60_000)
  assert.is(fleet.pollCount - before, 2 * 30)
}))

leavingTests('the poll interval of a long VM list keeps to 12 KB/s', () => {
  assert.is(vmListIntervalMilliseconds(20), 2000)
  assert.is(vmListIntervalMilliseconds(2000), 20_000)
})

leavingTests('pollers of eleven failure domains poll a long VM list one after another', () => withPausedClock(async clock => {
  const polledAt: number[] = []
  const vms = Array.from({ length: 2000 }, (_, index) => toVm(`${index}`, '10.0.0.1'))
  const views = Array.from({ length: 22 }, () => createVmListView({
    async list () {
      polledAt.push(Date.now())
      return success(vms)
    }
  }))
  for (let tick = 0; tick < 240; tick += 1) {
    await Promise.all(views.map((view, position) => view.refresh({ position, pollers: views.length })))
    await clock.advance(500)
  }
  const steady = polledAt.filter(at => at > polledAt[0]! + 40_000 && at <= polledAt[0]! + 100_000)
  const gaps = steady.slice(1).map((at, index) => at - steady[index]!)
  assert.ok(Math.max(...gaps) <= 1000, `${Math.max(...gaps)} ms between two polls`)
  assert.is(steady.length, 3 * 22)
}))

leavingTests('merging VM lists keeps unlisted VMs only if they were leaving', () => {
  const vm = (name: string, state: VmState): VmEntry => ({ name, state, address: '10.0.0.1', failureDomain: 'howrah' })
  const merged = mergeVmList([vm('a', VmState.Leaving), vm('b', VmState.Live), vm('c', VmState.Leaving)], [vm('c', VmState.Live)])
  assert.equal(merged, [vm('c', VmState.Live), vm('a', VmState.Leaving)])
})
leavingTests.run()

function withFleet (test: (fleet: Fleet, clock: PausedClock) => Promise<void>): Promise<void> {
  return withPausedClock(async clock => {
    const fleet = createFleet()
    for (const node of fleet.nodes) node.leaving.start()
    await test(fleet, clock)
    for (const node of fleet.nodes) node.leaving.stop()
  })
}

function createFleet (): Fleet {
  const subscribers = Array.from({ length: NODES }, () => new Set<(event: TargetEvent) => void>())
  const members = subscribers.map((_, index) => toMember(index))
  let generation = 0
  const fleet: Fleet = {
    nodes: [],
    vms: [toVm('vm-1', '10.0.0.1'), toVm('vm-2', '10.0.0.2'), ...members.map(member => toVm(member.vm, member.address.split(':')[0] ?? ''))],
    pollCount: 0,
    isVmListUnreachable: false,
    suspect: target => createAnnouncements(subscribers, 0, 'suspecting').announceTarget(target, MemberState.Suspect),
    publish (stops, reached = fleet.nodes.map((_, index) => index)) {
      const version = toVersion(++generation, stops)
      for (const index of reached) fleet.nodes[index]!.version = version
    }
  }
  for (const [index, member] of members.entries()) {
    const node: Fleet['nodes'][number] = { version: toVersion(0, []), states: new Map(), ownStopCalls: 0, leaving: undefined as unknown as LeavingTracker }
    subscribers[index]!.add(({ target, state }) => { if (state === MemberState.Suspect) node.states.set(target, state) })
    node.leaving = createLeavingTracker({
      vmList: {
        async list () {
          fleet.pollCount += 1
          if (!fleet.isVmListUnreachable) return success(structuredClone(fleet.vms))
          return failed({ kind: FailureKind.Unreachable, step: Step.VmList, peer: 'list', detail: 'no connection' })
        }
      },
      announcements: createAnnouncements(subscribers, index, member.address),
      logger: SILENT_LOGGER,
      vm: member.vm,
      failureDomain: 'howrah',
      address: member.address,
      members: () => members,
      versionInForce: () => node.version,
      setState: (target, state) => node.states.set(target, state)
    })
    node.leaving.onOwnStop(() => { node.ownStopCalls += 1 })
    fleet.nodes.push(node)
  }
  return fleet
}

function createAnnouncements (subscribers: Array<Set<(event: TargetEvent) => void>>, index: number, reporter: string): TargetAnnouncements {
  let sequence = 0
  return {
    announceTarget (target, state) {
      const event = { target, state, reporter, sequence: ++sequence, atMilliseconds: Date.now() } as unknown as TargetEvent
      for (const [other, listeners] of subscribers.entries()) {
        setTimeout(() => { for (const callback of listeners) callback(event) }, other === index ? 0 : GOSSIP_MILLISECONDS)
      }
    },
    onTargetEvent (callback) {
      subscribers[index]!.add(callback)
      return () => subscribers[index]!.delete(callback)
    }
  }
}

function leavingAt (node: Fleet['nodes'][number]): string[] {
  const fromStatus = node.leaving.status().map(({ target }) => target).sort()
  const fromStates = [...node.states].filter(([, state]) => state === MemberState.Leaving).map(([target]) => target).sort()
  assert.equal(fromStatus, fromStates)
  return fromStatus
}

function toStop ({ subject, name, fromMilliseconds }: Case['stops'][number]): PlannedStop {
  const now = Date.now()
  return { id: name, subject, name, fromMilliseconds: now + fromMilliseconds, untilMilliseconds: now + fromMilliseconds + 3_600_000 }
}

function toMember (index: number): MemberEntry {
  const address = `10.0.1.${index}:80`
  return { address, vm: `entry-${index}`, failureDomain: 'howrah', incarnation: 1, state: MemberState.Alive, generation: 1 }
}

function toVm (name: string, address: string): VmEntry {
  return { name, address, failureDomain: 'howrah', state: VmState.Live }
}

function toVersion (generation: number, stops: PlannedStop[]): CompiledVersion {
  const manifest = manifestSchema.parse({
    format: 1,
    failureDomains: ['howrah'],
    targets: [['one', '10.0.0.1:1'], ['two', '10.0.0.1:2'], ['three', '10.0.0.2:1']].map(([name, address]) =>
      ({ name, address, failureDomain: 'howrah', accelerator: 'large', serves: [] })),
    services: [{
      name: 'repairs',
      targets: [{ name: 'repairs-1', address: '10.0.0.2:2', failureDomain: 'howrah' }],
      operations: [{ method: 'GET', path: '/jobs', idempotent: true }]
    }],
    workspaces: [{ name: 'desk', keyDigests: ['0'.repeat(64)] }]
  })
  return compileVersion({ generation, nonce: '', publishedAtMilliseconds: 0, parts: [], stops }, manifest)
}
