/**
 * Relaying the store's changes within a failure domain of many VMs, of which two follow the store. Every VM must receive each change in
 * time, whichever VM is lost.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { FailureKind, Step, failed, success, type KeyValueEntry, type PollableKeyValue, type WatchEvent } from '@wigeonlead/protocol'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, ageOf, createMirrorRelay, createStoreEra, runStoreMirror, type Instant, type PeerLink } from '@wigeonlead/relay'
import { joinLinks } from '../../joined-links.js'
import { padNumber } from '../../padded-text.js'

/** Tightest bound on the time until every VM has received a change, milliseconds. */
const CHANGE_BOUND_MILLISECONDS = 2000
/**
 * Age of the latest confirmation above which API keys are refused, milliseconds. A VM that gets answers from the store or from a peer must
 * stay below it.
 */
const MAX_CONFIRMATION_AGE_MILLISECONDS = 4500

/** Entries that expired during a store outage are removed this long after its end, milliseconds; given by the platform's documentation. */
const GRACE_MILLISECONDS = 2000

interface FakeStore {
  /** @returns the store as the given VM reaches it. */
  clientFor: (vm: string) => PollableKeyValue
  put: (key: string, value: string) => void
  remove: (key: string) => void
  /** Discards the history that led to the present state. */
  discardHistory: () => void
  /** VMs whose calls time out. */
  timingOut: Set<string>
  /** VMs whose calls fail at once. */
  refused: Set<string>
  /** Number of calls by VM. */
  calls: Map<string, number>
}

function createFakeStore (): FakeStore {
  const entries = new Map<string, KeyValueEntry>()
  const history: WatchEvent[] = []
  const waiting = new Set<() => void>()
  const timingOut = new Set<string>()
  const refused = new Set<string>()
  const calls = new Map<string, number>()
  let revision = 1
  let discardedRevision = 0

  function change (event: WatchEvent): void {
    history.push(event)
    for (const wake of [...waiting]) wake()
  }

  function pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { setTimeout(resolve, milliseconds) })
  }

  function waitForChange (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => { waiting.delete(wake); resolve() }
      waiting.add(wake)
      setTimeout(wake, milliseconds)
    })
  }

  return {
    timingOut,
    refused,
    calls,
    discardHistory: () => { discardedRevision = revision },
    put (key, value) {
      revision += 1
      entries.set(key, { key, value, modRevision: revision, createRevision: revision })
      change({ key, entry: entries.get(key), revision })
    },
    remove (key) {
      revision += 1
      entries.delete(key)
      change({ key, revision })
    },
    clientFor: vm => {
      async function answer<T> (read: () => T, milliseconds: number): Promise<ReturnType<typeof success<T>> | ReturnType<typeof failed>> {
        calls.set(vm, (calls.get(vm) ?? 0) + 1)
        if (timingOut.has(vm)) {
          await pause(milliseconds + 700)
          return failed({ kind: FailureKind.TimedOut, step: Step.KeyValue, peer: 'store', detail: '', afterMilliseconds: milliseconds + 700 })
        }
        await pause(2)
        if (refused.has(vm)) return failed({ kind: FailureKind.Unreachable, step: Step.KeyValue, peer: 'store', detail: 'reset' })
        return success(read())
      }
      return {
        list: () => answer(() => ({ entries: [...entries.values()], revision }), 300),
        async poll (_prefix: string, after: number, wait: number) {
          if (!timingOut.has(vm) && !refused.has(vm) && revision <= after) await waitForChange(wait)
          if (after < discardedRevision && !refused.has(vm)) {
            calls.set(vm, (calls.get(vm) ?? 0) + 1)
            return failed({ kind: FailureKind.Refused, step: Step.KeyValue, peer: 'store', status: 410, detail: 'history gone' })
          }
          return await answer(() => ({ changes: history.filter(event => event.revision > after), revision }), wait)
        }
      } as unknown as PollableKeyValue
    }
  }
}

interface Vm {
  name: string
  /** The VM's copy of the store: values by key. */
  copy: Map<string, string>
  /** Calls of `onRecovered` and `onRemoved`, in order. */
  notifications: string[]
  confirmedAt?: Instant
  /** Monotonic time at which the VM was first notified that the store is back, milliseconds. */
  recoveredAt?: number
  /** End of the grace period in which expired entries may be written again, monotonic time in milliseconds. */
  graceEndsAt?: number
}

interface Fleet {
  clock: Clock
  store: FakeStore
  vms: Vm[]
  /** VMs that neither receive nor send datagrams. */
  dead: Set<string>
  links: Map<string, PeerLink>
  /**
   * Advances the clock.
   * @returns the greatest age that the latest confirmation of a live VM reached meanwhile, milliseconds.
   */
  advance: (milliseconds: number) => Promise<number>
}

async function withFleet (count: number, use: (fleet: Fleet) => Promise<void>): Promise<void> {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
  const stopped = new AbortController()
  const store = createFakeStore()
  store.put('configuration', '1')
  store.put('target', 'listed')
  const dead = new Set<string>()
  const names = Array.from({ length: count }, (_, index) => `vm-${String(index).padStart(3, '0')}`)
  const links = joinLinks(names, (from, to) => dead.has(from) || dead.has(to))
  const vms: Vm[] = names.map(name => ({ name, copy: new Map(), notifications: [] }))
  try {
    for (const vm of vms) {
      const otherVms = names.filter(name => name !== vm.name).map(name => ({ vm: name, address: name, failureDomain: 'east' }))
      const peers = {
        known: () => otherVms,
        find: (name: string) => otherVms.find(peer => peer.vm === name),
        sample: (maxPeers: number) => otherVms.slice(-maxPeers)
      }
      const era = createStoreEra(SILENT_RELAY_LOG)
      const relay = createMirrorRelay({
        ownVm: vm.name, failureDomain: 'east', peers, link: links.get(vm.name)!, log: SILENT_RELAY_LOG
      })
      void runStoreMirror(store.clientFor(vm.name), {
        onEntry ({ key, value }) { vm.copy.set(key, value) },
        onRemoved (key) { vm.copy.delete(key); vm.notifications.push(`-${key}`) },
        onListed (keys) {
          for (const key of [...vm.copy.keys()].filter(listed => !keys.has(listed))) {
            vm.copy.delete(key)
            vm.notifications.push(`-${key}`)
          }
        },
        onConfirmed (confirmedAt) { vm.confirmedAt = confirmedAt },
        onRecovered (agoMilliseconds) {
          vm.notifications.push('recovered')
          vm.recoveredAt ??= performance.now()
          vm.graceEndsAt = performance.now() + GRACE_MILLISECONDS - agoMilliseconds
        }
      }, SILENT_RELAY_LOG, { waitMilliseconds: 1500, signal: stopped.signal, relay, era })
    }
    async function advance (milliseconds: number): Promise<number> {
      let max = 0
      for (let passed = 0; passed < milliseconds; passed += 50) {
        await clock.tickAsync(50)
        for (const vm of vms) if (!dead.has(vm.name)) max = Math.max(max, vm.confirmedAt === undefined ? Infinity : ageOf(vm.confirmedAt))
      }
      return max
    }
    await advance(3000)
    await use({ clock, store, vms, dead, links, advance })
  } finally {
    stopped.abort()
    clock.uninstall()
  }
}

const mirrorRelays = suite('mirror relay')

const FLEETS = [
  { count: 3, storeCallers: 3 }, { count: 5, storeCallers: 2 }, { count: 26, storeCallers: 2 }, { count: 100, storeCallers: 2 }
]
for (const { count, storeCallers } of FLEETS) {
  mirrorRelays(`${count} VMs: ${storeCallers} poll the store, and all receive a change within 350 ms`, () => withFleet(count, async ({ store, vms, advance }) => {
    store.calls.clear()
    assert.ok(await advance(10_000) < MAX_CONFIRMATION_AGE_MILLISECONDS)
    assert.is(store.calls.size, storeCallers)
    for (const calls of store.calls.values()) assert.ok(calls <= 25, `${calls} calls in 10 s`)
    store.put('configuration', '2')
    await advance(350)
    for (const vm of vms) assert.is(vm.copy.get('configuration'), '2', vm.name)
  }))
}

const LOSSES: Array<{ name: string, act: (fleet: Fleet) => void }> = [
  { name: 'one store follower is dead', act: ({ dead, store }) => { dead.add('vm-000'); store.timingOut.add('vm-000') } },
  { name: 'both store followers are dead', act: ({ dead }) => { dead.add('vm-000'); dead.add('vm-001') } },
  { name: 'both store followers have lost the store', act: ({ store }) => { store.timingOut.add('vm-000'); store.timingOut.add('vm-001') } },
  { name: 'one store follower is dead and the other has lost the store', act: ({ dead, store }) => { dead.add('vm-000'); store.timingOut.add('vm-001') } },
  { name: 'a change does not fit into a datagram', act: ({ store }) => { store.put('large', 'x'.repeat(100_000)) } }
]
for (const { name, act } of LOSSES) {
  for (const delay of [0, 300, 900, 1500]) {
    mirrorRelays(`${name}, a change ${delay} ms later: all receive it within the bound`, () => withFleet(12, async fleet => {
      act(fleet)
      await fleet.advance(delay)
      fleet.store.put('configuration', '2')
      const maxAge = await fleet.advance(CHANGE_BOUND_MILLISECONDS - 50)
      for (const vm of fleet.vms) {
        const isServed = !fleet.dead.has(vm.name) && !fleet.store.timingOut.has(vm.name)
        if (isServed) assert.is(vm.copy.get('configuration'), '2', vm.name)
      }
      if (fleet.store.timingOut.size === 0) assert.ok(maxAge < MAX_CONFIRMATION_AGE_MILLISECONDS, `a confirmation ${maxAge} ms old`)
    }))
  }
}

mirrorRelays('entries that expired during a store outage: every VM is notified that the store is back before they are removed', () => withFleet(8, async ({ store, vms, advance }) => {
  for (const vm of vms) store.timingOut.add(vm.name)
  await advance(6000)
  store.remove('target')
  store.timingOut.clear()
  await advance(4000)
  for (const vm of vms) {
    assert.ok(vm.notifications.includes('recovered'), vm.name)
    assert.ok(vm.notifications.indexOf('recovered') < vm.notifications.indexOf('-target'), `${vm.name}: ${vm.notifications.join()}`)
    const grace = vm.graceEndsAt! - vm.recoveredAt!
    assert.ok(grace <= GRACE_MILLISECONDS, `${vm.name}: expired entries are kept for ${grace} ms`)
  }
}))

mirrorRelays('the store refuses all calls for a while and discards its history: only its followers list it again', () => withFleet(26, async fleet => {
  const { store, vms, advance } = fleet
  for (const vm of vms) store.refused.add(vm.name)
  await advance(600)
  store.put('configuration', '2')
  store.remove('target')
  store.put('other', 'new')
  store.discardHistory()
  store.refused.clear()
  store.calls.clear()
  assert.ok(await advance(3000) < MAX_CONFIRMATION_AGE_MILLISECONDS)
  for (const vm of vms) assert.equal([...vm.copy], [['configuration', '2'], ['other', 'new']], vm.name)
  assert.is(store.calls.size, 2, [...store.calls.keys()].join())
}))

mirrorRelays('the store is down for six seconds: VMs that follow peers call it rarely, and receive a change within the bound once it is back', () => withFleet(26, async fleet => {
  const { store, vms, advance } = fleet
  for (const vm of vms) store.refused.add(vm.name)
  store.calls.clear()
  await advance(6000)
  const calls = vms.slice(2).reduce((sum, vm) => sum + (store.calls.get(vm.name) ?? 0), 0)
  assert.ok(calls <= vms.length * 3, `${calls} calls of ${vms.length - 2} VMs`)
  store.refused.clear()
  store.put('configuration', '2')
  await advance(CHANGE_BOUND_MILLISECONDS)
  for (const vm of vms) assert.is(vm.copy.get('configuration'), '2', vm.name)
}))

/**
 * Guards against work sent to wrong stages: the store rejected some VMs of small failure domains for a long time while targets took over
 * layers, so these VMs used a stale layout.
 */
for (const failureMode of ['timingOut', 'refused'] as const) {
  mirrorRelays(`the store rejects one VM of three (${failureMode}): it receives changes from the others, and soon follows the store again`, () => withFleet(3, async fleet => {
    const { store, vms, advance } = fleet
    store[failureMode].add('vm-001')
    await advance(4000)
    store.calls.clear()
    let maxAge = 0
    for (const version of ['2', '3', '4', '5']) {
      store.put('configuration', version)
      maxAge = Math.max(maxAge, await advance(2000))
      for (const vm of vms) assert.is(vm.copy.get('configuration'), version, vm.name)
    }
    assert.ok(maxAge < MAX_CONFIRMATION_AGE_MILLISECONDS, `a confirmation ${maxAge} ms old`)
    assert.ok(store.calls.get('vm-001')! <= 5, `${store.calls.get('vm-001')} calls of the VM in 8 s`)
    assert.not(vms[1]!.notifications.includes('recovered'), 'the store had no outage, so no expired entry is written again')
    store[failureMode].clear()
    store.calls.clear()
    await advance(6000)
    assert.ok(store.calls.get('vm-001')! >= 3, 'it follows the store again')
  }))
}

mirrorRelays('a VM that can\'t reach the store but reaches its peers follows them', () => withFleet(8, async ({ store, vms, advance }) => {
  store.timingOut.add('vm-005')
  await advance(3000)
  store.put('configuration', '2')
  assert.ok(await advance(3000) < MAX_CONFIRMATION_AGE_MILLISECONDS)
  assert.is(vms[5]!.copy.get('configuration'), '2')
}))

/**
 * Guards against changes that are not in force in time: a configuration that exceeded a datagram did not pass between VMs, so a VM that the
 * store turned away stayed at the version that it had, and each other VM read the store itself. The load: a change each 400 ms.
 */
for (const characters of [10, 60_000, 500_000]) {
  for (const away of [['vm-004', 'vm-007', 'vm-011'], ['vm-000', 'vm-005'], ['vm-000', 'vm-001', 'vm-006']]) {
    mirrorRelays(`a configuration of ${characters} characters, the store turns ${away.join()} away: each change reaches all within the bound, few VMs read it`, () => withFleet(12, async fleet => {
      const { store, vms, advance } = fleet
      for (const vm of away) store.refused.add(vm)
      await advance(3000)
      store.calls.clear()
      for (let version = 2; version < 12; version++) {
        store.put('configuration', padNumber(version, characters))
        await advance(400)
      }
      await advance(CHANGE_BOUND_MILLISECONDS - 400)
      for (const vm of vms) assert.is(Number(vm.copy.get('configuration')), 11, vm.name)
      const readers = [...store.calls].filter(([vm, calls]) => calls > 6 && !away.includes(vm)).map(([vm]) => vm)
      assert.ok(readers.length <= 2 || away.length > 2, `${readers.join()} read the store`)
    }))
  }
}

const EARLIER_POLLS = [
  { name: 'a short configuration is sent as it is', characters: 5000, isAnswered: true },
  { name: 'a long configuration is not sent', characters: 60_000, isAnswered: false }
]
for (const { name, characters, isAnswered } of EARLIER_POLLS) {
  mirrorRelays(`a peer of an earlier build polls: ${name}`, () => withFleet(6, async ({ store, advance, links }) => {
    const answers: any[] = []
    const earlier = links.get('vm-005')!
    earlier.on('changes-told', answer => { answers.push(answer) })
    store.put('configuration', padNumber(2, characters))
    await advance(500)
    earlier.notify('vm-000', 'changes-asked', { vm: 'vm-005', question: 900_001, after: 3 })
    await advance(500)
    const answer = answers.find(({ question }) => question === 900_001)
    assert.is(answer.page !== undefined, isAnswered)
    if (isAnswered) assert.is(Number(answer.page.changes[0].entry.value), 2)
  }))
}

mirrorRelays.run()
