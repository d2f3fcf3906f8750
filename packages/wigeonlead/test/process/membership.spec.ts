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
const NODES_PER_DOMAIN = 6
const SETTLING_MILLISECONDS = 15_000
const SPREAD_LIMIT_MILLISECONDS = 3000

const vms: VmEntry[] = DOMAINS.flatMap((failureDomain, domain) => Array.from({ length: NODES_PER_DOMAIN }, (_, index) => ({
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
      await clock.advance(SETTLING_MILLISECONDS)
      await run(fleet)
    } finally {
      for (const node of fleet.nodes) node.stop()
    }
  })
}

const membershipTests = suite('membership')

const entry = (incarnation: number, state: MemberState): MemberEntry => ({
  address: '10.0.0.1:7000', vm: 'entry-1', failureDomain: 'howrah', incarnation, state, generation: 1
})

interface MergeCase {
  name: string
  stored: MemberEntry
  received: MemberEntry
  result: MergeResult
}

const MERGE_CASES: MergeCase[] = [
  { name: 'the same entry again', stored: entry(5, Alive), received: entry(5, Alive), result: MergeResult.Unchanged },
  { name: 'a suspicion', stored: entry(5, Alive), received: entry(5, Suspect), result: MergeResult.Newer },
  { name: 'alive under the suspected incarnation', stored: entry(5, Suspect), received: entry(5, Alive), result: MergeResult.Stale },
  { name: 'a refutation', stored: entry(5, Suspect), received: entry(6, Alive), result: MergeResult.Newer },
  { name: 'a suspicion of an earlier incarnation', stored: entry(6, Alive), received: entry(5, Suspect), result: MergeResult.Stale },
  { name: 'leaving', stored: entry(5, Alive), received: entry(5, Leaving), result: MergeResult.Newer },
  { name: 'alive under the leaving incarnation', stored: entry(5, Leaving), received: entry(5, Alive), result: MergeResult.Stale },
  { name: 'suspect under the leaving incarnation', stored: entry(5, Leaving), received: entry(5, Suspect), result: MergeResult.Stale },
  { name: 'gone', stored: entry(5, Leaving), received: entry(5, Gone), result: MergeResult.Newer },
  { name: 'alive under the gone incarnation', stored: entry(5, Gone), received: entry(5, Alive), result: MergeResult.Stale },
  { name: 'a replaced VM with the same address', stored: entry(5, Gone), received: entry(9, Alive), result: MergeResult.Newer }
]
for (const { name, stored, received, result } of MERGE_CASES) {
  membershipTests(`merge of ${name}: ${result}`, () => {
    const table = createMemberTable(() => {})
    table.merge(stored)
    assert.is(table.merge(received), result)
    assert.equal(table.get(stored.address), result === MergeResult.Newer ? received : stored)
  })
}

membershipTests('every node knows all members of its failure domain and a few contacts of each other one', () => withFleet(async ({ nodes }) => {
  for (const node of nodes) {
    assert.is(node.aliveMembersOfDomain().length, NODES_PER_DOMAIN)
    assert.is(node.otherDomains().length, DOMAINS.length - 1)
    assert.ok(node.members().length <= NODES_PER_DOMAIN + 3 * (DOMAINS.length - 1))
    assert.is(node.aliveNodeCount(), vms.length)
  }
}))

membershipTests('every node of every failure domain knows of a leaving target within three seconds', () => withFleet(async ({ clock, nodes }) => {
  const notified = new Set<number>()
  nodes.forEach((node, index) => node.onTargetEvent(event => { if (event.state === Leaving) notified.add(index) }))
  nodes[0]?.announceTarget('stage-1', Leaving)
  await clock.advance(SPREAD_LIMIT_MILLISECONDS)
  assert.is(notified.size, nodes.length)
}))

membershipTests('a leaving node is seen as leaving in its failure domain within three seconds, and as gone after it stopped', () =>
  withFleet(async ({ clock, network, nodes }) => {
    const [leaving, ...others] = nodes.slice(0, NODES_PER_DOMAIN) as [Membership, ...Membership[]]
    leaving.leave()
    await clock.advance(SPREAD_LIMIT_MILLISECONDS)
    for (const node of others) assert.is(node.aliveMembersOfDomain().length, NODES_PER_DOMAIN - 1)
    assert.ok(others.every(node => node.membersOfDomain().some(member => member.state === Leaving)))
    leaving.stop()
    network.remove(leaving.self().address)
    await clock.advance(SETTLING_MILLISECONDS)
    for (const node of others) assert.is(node.membersOfDomain().length, NODES_PER_DOMAIN - 1)
  }))

membershipTests('a VM that restarts with the same address and a clock set back is accepted again', () => withFleet(async ({ clock, network, nodes }) => {
  const [first, second] = [nodes[0], nodes[1]] as [Membership, Membership]
  const before = first.self().incarnation
  first.leave()
  await clock.advance(SPREAD_LIMIT_MILLISECONDS)
  first.stop()
  const { now } = Date
  Date.now = () => now() - 3_600_000
  nodes[0] = startNode(network, vms[0] as VmEntry, 77)
  Date.now = now
  await clock.advance(SPREAD_LIMIT_MILLISECONDS)
  const seen = second.membersOfDomain().find(member => member.address === first.self().address)
  assert.is(seen?.state, Alive)
  assert.ok((seen?.incarnation ?? 0) > before)
}))

membershipTests('shares follow demand above an equal minimum share, and stay the same while a failure domain is cut off', () => withFleet(async ({ clock, network, nodes }) => {
  nodes[0]?.setDemandSource(() => ({ desk: 30 }))
  nodes[7]?.setDemandSource(() => ({ desk: 10 }))
  await clock.advance(2 * SETTLING_MILLISECONDS)
  const shares = nodes.map(node => node.demandShareOf('desk').share)
  const even = 0.2 / vms.length
  assert.ok(Math.abs((shares[0] ?? 0) - (even + 0.8 * 0.75)) < 0.01, `${shares[0]}`)
  assert.ok(Math.abs((shares[1] ?? 0) - even) < 0.01, `${shares[1]}`)
  assert.ok(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 0.05)
  network.partition((from, to) => from.startsWith('10.0.0.') !== to.startsWith('10.0.0.'))
  await clock.advance(20 * SETTLING_MILLISECONDS)
  assert.ok(Math.abs((nodes[0]?.demandShareOf('desk').share ?? 0) - (shares[0] ?? 0)) < 0.01)
}))

membershipTests('target events: the latest event of a reporter wins, expired events are dropped, and their number is limited', () => {
  const reporter = createTargetEvents('a')
  const receiver = createTargetEvents('b')
  const [first, second] = [reporter.announce('stage', Leaving), reporter.announce('stage', Alive)]
  assert.equal(receiver.merge([second, first]), [second])
  assert.equal(receiver.merge([second]), [])
  assert.equal(receiver.merge([{ ...first, reporter: 'c', ageMilliseconds: 3_600_000 }]), [])
  for (let index = 0; index < 5000; index += 1) reporter.announce(`target-${index}`, Leaving)
  assert.is(reporter.all(10_000).length, 1024)
})
membershipTests.run()
