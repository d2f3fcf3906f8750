/**
 * Property: after all faults are healed, the live nodes agree on the members, and no live node stays marked as gone; an incarnation
 * that was seen leaving is never seen alive again; leaving targets known to one live node become known to all.
 */
import fc from 'fast-check'
import { MemberState, VmState, type VmEntry } from '@wigeonlead/protocol'
import { PeerFault, createMemoryPeerNetwork, withPausedClock, type MemoryPeerNetwork, type PausedClock } from '@wigeonlead/stand-ins'
import { SILENT_LOGGER } from '../../src/process/logging.js'
import { createMembership, type Membership } from '../../src/process/membership/index.js'
import { createSeededRandom } from '../../src/process/random.js'
import type { ProtocolProperty } from './property.js'

const NODES = ['10.0.0.1:7000', '10.0.0.2:7000', '10.0.0.3:7000', '10.0.1.1:7000']
const PAIRS = NODES.flatMap((left, index) => NODES.slice(index + 1).map(right => [left, right] as const))
const HEALING_MILLISECONDS = 30_000

type Command =
  | { kind: 'kill' | 'start' | 'pause' | 'leave' | 'announce', node: number }
  | { kind: 'restart', node: number, clockBackMilliseconds: number }
  | { kind: 'partition', pairs: number }
  | { kind: 'faults', fault: PeerFault, every: number, delayMilliseconds: number }
  | { kind: 'heal' }
  | { kind: 'wait', milliseconds: number }

const node = fc.nat(NODES.length - 1)
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constantFrom('kill' as const, 'start' as const, 'pause' as const, 'leave' as const, 'announce' as const), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), node, clockBackMilliseconds: fc.constantFrom(0, 0, 1, 60_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('partition' as const), pairs: fc.nat(2 ** PAIRS.length - 1) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('faults' as const), fault: fc.constantFrom(...Object.values(PeerFault)), every: fc.integer({ min: 2, max: 5 }), delayMilliseconds: fc.constantFrom(0, 20, 300)
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 12_000 }) }) }
)

interface Node {
  membership: Membership
  /** Latest incarnation of each node that this node has seen. */
  latestIncarnations: Map<string, number>
  /** Incarnations that this node has seen leaving or gone, as `address incarnation`. */
  departedIncarnations: Set<string>
  announcedTargets: Set<string>
}

interface World {
  clock: PausedClock
  network: MemoryPeerNetwork
  nodes: Array<Node | undefined>
  faults: { fault: PeerFault, every: number, delayMilliseconds: number } | undefined
  violations: string[]
  calls: number
  starts: number
}

/** The membership property. */
export const membershipProperty: ProtocolProperty = {
  name: 'membership',
  check: ({ seed, runs }) => fc.assert(
    fc.asyncProperty(fc.array(command, { minLength: 1, maxLength: 14 }), commands => withPausedClock(clock => run(clock, commands))),
    { seed, numRuns: runs }
  )
}

async function run (clock: PausedClock, commands: Command[]): Promise<void> {
  const network = createMemoryPeerNetwork({
    fault: () => world.faults !== undefined && ++world.calls % world.faults.every === 0 ? world.faults.fault : undefined,
    delayMilliseconds: () => world.faults?.delayMilliseconds ?? 1
  })
  const world: World = { clock, network, nodes: [], faults: undefined, violations: [], calls: 0, starts: 0 }
  NODES.forEach((_, index) => start(world, index, 0))
  try {
    await clock.advance(3000)
    for (const step of commands) await apply(world, step)
    heal(world)
    const announced = new Set(world.nodes.flatMap(node => [...node?.announcedTargets ?? []]))
    await clock.advance(HEALING_MILLISECONDS)
    check(world, announced)
  } finally {
    for (const node of world.nodes) node?.membership.stop()
  }
}

async function apply (world: World, command: Command): Promise<void> {
  switch (command.kind) {
    case 'kill': return kill(world, command.node)
    case 'start': return start(world, command.node, 0)
    case 'restart':
      kill(world, command.node)
      return start(world, command.node, command.clockBackMilliseconds)
    case 'pause': return world.network.pause(NODES[command.node] as string)
    case 'leave': return world.nodes[command.node]?.membership.leave()
    case 'announce': return world.nodes[command.node]?.membership.announceTarget(`stage-${world.calls}`, MemberState.Leaving)
    case 'partition': return world.network.partition((from, to) => isCut(command.pairs, from, to))
    case 'faults':
      world.faults = command
      return
    case 'heal': return heal(world)
    case 'wait': return await world.clock.advance(command.milliseconds)
  }
}

/** Returns whether a partition separates two nodes; bit `n` of `pairs` stands for the pair at index `n` of PAIRS. */
function isCut (pairs: number, from: string, to: string): boolean {
  const bit = PAIRS.findIndex(([left, right]) => (left === from && right === to) || (left === to && right === from))
  return (pairs >> bit) % 2 === 1
}

function heal (world: World): void {
  world.faults = undefined
  world.network.heal()
  for (const address of NODES) world.network.resume(address)
}

function kill (world: World, index: number): void {
  world.nodes[index]?.membership.stop()
  world.nodes[index] = undefined
  world.network.remove(NODES[index] as string)
  world.network.resume(NODES[index] as string)
}

function start (world: World, index: number, clockBackMilliseconds: number): void {
  if (world.nodes[index] !== undefined) return
  const address = NODES[index] as string
  const peers = world.network.port(address)
  const membership = withClockSetBack(clockBackMilliseconds, () => createMembership({
    peers,
    address,
    vm: address,
    failureDomain: toVm(address).failureDomain,
    seeds: [],
    generation: () => 1,
    random: createSeededRandom(1000 + world.starts++),
    vmList: { list: async () => ({ ok: true, value: NODES.map(toVm) }) },
    logger: SILENT_LOGGER
  }))
  const started: Node = { membership, latestIncarnations: new Map(), departedIncarnations: new Set(), announcedTargets: new Set() }
  membership.onTargetEvent(({ target }) => { started.announcedTargets.add(target) })
  membership.onChange(({ address, incarnation, state }) => {
    const before = started.latestIncarnations.get(address) ?? 0
    if (incarnation < before) world.violations.push(`${address} went from incarnation ${before} to ${incarnation}`)
    started.latestIncarnations.set(address, incarnation)
    const name = `${address} ${incarnation}`
    if (state === MemberState.Leaving || state === MemberState.Gone) started.departedIncarnations.add(name)
    else if (started.departedIncarnations.has(name)) world.violations.push(`${name} was leaving or gone and is ${state} again`)
  })
  peers.serve(membership.handlers)
  world.nodes[index] = started
  membership.start()
}

function withClockSetBack<T> (milliseconds: number, make: () => T): T {
  const now = Date.now
  Date.now = () => now() - milliseconds
  try {
    return make()
  } finally {
    Date.now = now
  }
}

function toVm (address: string): VmEntry {
  const [host = '', port] = address.split(':')
  const failureDomain = host.startsWith('10.0.0') ? 'howrah' : 'salt-lake'
  return { name: address, address: host, failureDomain, state: VmState.Live, peerPort: Number(port) }
}

function check ({ nodes, violations }: World, announced: Set<string>): void {
  const live = nodes.filter(node => node !== undefined)
  for (const { membership, announcedTargets } of live) {
    const self = membership.self()
    const wanted = live.map(other => other.membership.self()).filter(other => other.failureDomain === self.failureDomain)
    const [found, expected] = [describe(membership.membersOfDomain()), describe(wanted)]
    if (found !== expected) violations.push(`${self.address} has members ${found}, expected ${expected}`)
    const isOtherAlive = live.some(other => other.membership.self().failureDomain !== self.failureDomain)
    if (isOtherAlive && membership.otherDomains().length !== 1) violations.push(`${self.address} no longer knows the other failure domain`)
    for (const target of announced) if (!announcedTargets.has(target)) violations.push(`${self.address} never received the event of ${target}`)
  }
  if (violations.length > 0) throw new Error(violations.join('; '))
}

function describe (entries: Array<{ address: string, incarnation: number, state: MemberState }>): string {
  return entries.map(({ address, incarnation, state }) => `${address}@${incarnation % 1_000_000}:${state}`).sort().join(' ')
}
