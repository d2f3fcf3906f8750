import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MemberState, VmState, type MemberEntry, type VmEntry } from '@wigeonlead/protocol'
import { createMemoryPeerNetwork, withPausedClock, type MemoryPeerNetwork, type PausedClock } from '@wigeonlead/stand-ins'
import { SILENT_LOGGER } from '../../src/process/logging.js'
import { createMembership, type Membership } from '../../src/process/membership/index.js'
import { MergeResult, createMemberTable } from '../../src/process/membership/table.js'
import { createTargetEvents } from '../../src/process/membership/target-events.js'
import { createSeededRandom } from '../../src/process/random.js'

const { Alive, Suspect, Leaving, Gone } = MemberState
const DOMAINS = ['howrah', 'salt-lake', 'dum-dum', 'bally']
const NODES_OF_A_DOMAIN = 6
const SETTLED_MILLISECONDS = 15_000
const KNOWN_MILLISECONDS = 3000

const vms: VmEntry[] = DOMAINS.flatMap((failureDomain, domain) => Array.from({ length: NODES_OF_A_DOMAIN }, (_, index) => ({
  name: `entry-${domain}-${index}`, address: `10.0.${domain}.${index}`, failureDomain, state: VmState.Live, peerPort: 7000
})))
const addressOf = (vm: VmEntry): string => `${vm.address}:${vm.peerPort}`

interface Fleet {
  clock: PausedClock
  network: MemoryPeerNetwork
  nodes: Membership[]
}

function startNode (network: MemoryPeerNetwork, vm: VmEntry, seed: number): Membership {
  const address = addressOf(vm)
  const peers = network.port(address)
  const node = createMembership({
    peers,
    address,
    vm: vm.name,
    failureDomain: vm.failureDomain,
    seeds: [],
    generation: () => 1,
    random: createSeededRandom(seed),
    vmList: { list: async () => ({ ok: true, value: vms }) },
    logger: SILENT_LOGGER
  })
  peers.serve(node.handlers)
  node.start()
  return node
}

function withFleet (run: (fleet: Fleet) => Promise<void>): Promise<void> {
  return withPausedClock(async clock => {
    const network = createMemoryPeerNetwork({ delayMilliseconds: () => 1 })
    const fleet = { clock, network, nodes: vms.map((vm, index) => startNode(network, vm, index + 1)) }
    try {
      await clock.advance(SETTLED_MILLISECONDS)
      await run(fleet)
    } finally {
      for (const node of fleet.nodes) node.stop()
    }
  })
}

const membership = suite('membership')

const entry = (incarnation: number, state: MemberState): MemberEntry => ({
  address: '10.0.0.1:7000', vm: 'entry-1', failureDomain: 'howrah', incarnation, state, generation: 1
})

interface MergeCase {
  name: string
  held: MemberEntry
  heard: MemberEntry
  result: MergeResult
}

const MERGE_CASES: MergeCase[] = [
  { name: 'the same again', held: entry(5, Alive), heard: entry(5, Alive), result: MergeResult.Known },
  { name: 'a suspicion', held: entry(5, Alive), heard: entry(5, Suspect), result: MergeResult.News },
  { name: 'alive under the suspected incarnation', held: entry(5, Suspect), heard: entry(5, Alive), result: MergeResult.Outdated },
  { name: 'a refutation', held: entry(5, Suspect), heard: entry(6, Alive), result: MergeResult.News },
  { name: 'an old suspicion', held: entry(6, Alive), heard: entry(5, Suspect), result: MergeResult.Outdated },
  { name: 'leaving', held: entry(5, Alive), heard: entry(5, Leaving), result: MergeResult.News },
  { name: 'alive under the leaving incarnation', held: entry(5, Leaving), heard: entry(5, Alive), result: MergeResult.Outdated },
  { name: 'suspect under the leaving incarnation', held: entry(5, Leaving), heard: entry(5, Suspect), result: MergeResult.Outdated },
  { name: 'gone', held: entry(5, Leaving), heard: entry(5, Gone), result: MergeResult.News },
  { name: 'alive under the gone incarnation', held: entry(5, Gone), heard: entry(5, Alive), result: MergeResult.Outdated },
  { name: 'a replaced VM with the same address', held: entry(5, Gone), heard: entry(9, Alive), result: MergeResult.News }
]
for (const { name, held, heard, result } of MERGE_CASES) {
  membership(`${name}: ${result}`, () => {
    const table = createMemberTable(() => {})
    table.merge(held)
    assert.is(table.merge(heard), result)
    assert.equal(table.get(held.address), result === MergeResult.News ? heard : held)
  })
}

membership('every node knows its failure domain in full and the others as contacts', () => withFleet(async ({ nodes }) => {
  for (const node of nodes) {
    assert.is(node.aliveMembersOfDomain().length, NODES_OF_A_DOMAIN)
    assert.is(node.otherDomains().length, DOMAINS.length - 1)
    assert.ok(node.members().length <= NODES_OF_A_DOMAIN + 3 * (DOMAINS.length - 1))
    assert.is(node.aliveNodes(), vms.length)
  }
}))

membership('a leaving target is known on every node of every failure domain within three seconds', () => withFleet(async ({ clock, nodes }) => {
  const heard = new Set<number>()
  nodes.forEach((node, index) => node.onTargetEvent(event => { if (event.state === Leaving) heard.add(index) }))
  nodes[0]?.announceTarget('stage-1', Leaving)
  await clock.advance(KNOWN_MILLISECONDS)
  assert.is(heard.size, nodes.length)
}))

membership('a leaving node is known as leaving in its failure domain within three seconds, and gone after it stopped', () =>
  withFleet(async ({ clock, network, nodes }) => {
    const [leaving, ...others] = nodes.slice(0, NODES_OF_A_DOMAIN) as [Membership, ...Membership[]]
    leaving.leave()
    await clock.advance(KNOWN_MILLISECONDS)
    for (const node of others) assert.is(node.aliveMembersOfDomain().length, NODES_OF_A_DOMAIN - 1)
    assert.ok(others.every(node => node.membersOfDomain().some(member => member.state === Leaving)))
    leaving.stop()
    network.remove(leaving.self().address)
    await clock.advance(SETTLED_MILLISECONDS)
    for (const node of others) assert.is(node.membersOfDomain().length, NODES_OF_A_DOMAIN - 1)
  }))

membership('a VM that comes back with the same address and a clock set back is taken in again', () => withFleet(async ({ clock, network, nodes }) => {
  const [first, second] = [nodes[0], nodes[1]] as [Membership, Membership]
  const before = first.self().incarnation
  first.leave()
  await clock.advance(KNOWN_MILLISECONDS)
  first.stop()
  const { now } = Date
  Date.now = () => now() - 3_600_000
  nodes[0] = startNode(network, vms[0] as VmEntry, 77)
  Date.now = now
  await clock.advance(KNOWN_MILLISECONDS)
  const seen = second.membersOfDomain().find(member => member.address === first.self().address)
  assert.is(seen?.state, Alive)
  assert.ok((seen?.incarnation ?? 0) > before)
}))

membership('shares follow demand over a floor, and stay while a failure domain is cut off', () => withFleet(async ({ clock, network, nodes }) => {
  nodes[0]?.setDemandSource(() => ({ desk: 30 }))
  nodes[7]?.setDemandSource(() => ({ desk: 10 }))
  await clock.advance(2 * SETTLED_MILLISECONDS)
  const shares = nodes.map(node => node.demandOf('desk').share)
  const even = 0.2 / vms.length
  assert.ok(Math.abs((shares[0] ?? 0) - (even + 0.8 * 0.75)) < 0.01, `${shares[0]}`)
  assert.ok(Math.abs((shares[1] ?? 0) - even) < 0.01, `${shares[1]}`)
  assert.ok(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 0.05)
  network.partition((from, to) => from.startsWith('10.0.0.') !== to.startsWith('10.0.0.'))
  await clock.advance(20 * SETTLED_MILLISECONDS)
  assert.ok(Math.abs((nodes[0]?.demandOf('desk').share ?? 0) - (shares[0] ?? 0)) < 0.01)
}))

membership('target events: the latest word of a reporter wins, old ones are dropped, the number is bounded', () => {
  const reporter = createTargetEvents('a')
  const receiver = createTargetEvents('b')
  const [first, second] = [reporter.announce('stage', Leaving), reporter.announce('stage', Alive)]
  assert.equal(receiver.merge([second, first]), [second])
  assert.equal(receiver.merge([second]), [])
  assert.equal(receiver.merge([{ ...first, reporter: 'c', ageMilliseconds: 3_600_000 }]), [])
  for (let index = 0; index < 5000; index += 1) reporter.announce(`target-${index}`, Leaving)
  assert.is(reporter.all(10_000).length, 1024)
})
membership.run()
