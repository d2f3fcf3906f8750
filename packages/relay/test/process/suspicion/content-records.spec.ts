/**
 * Evidence against content in fleets of different sizes, on a paused clock: each loss is noticed by another VM, and all VMs must refuse the
 * part of prompts, or the request, within the contact bound, also those that start later, and after all have restarted at once.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  SILENT_RELAY_LOG, createContentQuarantine, createContentRecords, createStoreEra, type Peer, type Peers, type PeerLink,
  type ContentQuarantine, type ContentRecords, type RequestContent
} from '@wigeonlead/relay'
import { createSeededRandom } from 'wigeonlead'
import { joinLinks } from '../../joined-links.js'
import { createRestoredStore, type RestoredStore } from '../../properties/restored-store.js'

const CONTACT_MILLISECONDS = 3000
/** Bytes that one VM may send while a quarantine lasts, in the contact bound: a fifth of its budget of 25 KB a second for control. */
const MAXIMUM_BYTES = CONTACT_MILLISECONDS * 5
const SERVICE = 'model'
const PREFIX = 'prompts/'

interface Vm {
  quarantine: ContentQuarantine
  records: ContentRecords
  stop: () => void
}

interface World {
  clock: Clock
  store: RestoredStore
  names: string[]
  links: Map<string, PeerLink>
  nextFloat: () => number
  sentBytes: Map<string, number>
  largestDatagram: number
}

function createWorld (vmCount: number): World {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
  const names = Array.from({ length: vmCount }, (_, index) => `vm-${index}`)
  const random = createSeededRandom(27)
  const nextFloat = (): number => random.nextFloat()
  return { clock, store: createRestoredStore(), names, links: joinLinks(names), nextFloat, sentBytes: new Map(), largestDatagram: 0 }
}

function startVm (world: World, name: string): Vm {
  const stopped = new AbortController()
  const quarantine = createContentQuarantine(SILENT_RELAY_LOG)
  const others: Peer[] = world.names.filter(other => other !== name).map(vm => ({ vm, address: vm, failureDomain: 'east' }))
  const link = world.links.get(name)!
  const records = createContentRecords({
    quarantine,
    keyPrefix: PREFIX,
    store: world.store.clientFor(name, createStoreEra(SILENT_RELAY_LOG).admit),
    peers: {
      known: () => others,
      sample: (count: number) =>
        Array.from({ length: Math.min(count, others.length) }, () => others[Math.floor(world.nextFloat() * others.length)]!)
    } as unknown as Peers,
    link: {
      ...link,
      notify (address, method, parameters) {
        const bytes = JSON.stringify(parameters).length
        world.sentBytes.set(name, (world.sentBytes.get(name) ?? 0) + bytes)
        world.largestDatagram = Math.max(world.largestDatagram, bytes)
        link.notify(address, method, parameters)
      }
    },
    log: SILENT_RELAY_LOG,
    signal: stopped.signal,
    nextFloat: world.nextFloat
  })
  records.start()
  return { quarantine, records, stop: () => stopped.abort() }
}

/** Content that targets end under, and content of sound requests that must go on. */
interface BadContent {
  name: string
  /** Number of targets that end, and whether they end within their answers. */
  losses: number
  hasEvents: boolean
  /** @param round number of the target that ends. */
  bad: (round: number) => RequestContent
  sound: RequestContent
}

const SOUND: RequestContent = { service: SERVICE, parts: ['first'], digest: () => 'sound' }

function withBadPart (round: number): RequestContent {
  return { service: SERVICE, parts: ['first', 'bad'], digest: () => `r-${round}` }
}

function badRequest (): RequestContent {
  return { service: SERVICE, parts: [], digest: () => 'bad' }
}

const CONTENTS: BadContent[] = [
  { name: 'part of prompts', losses: 3, hasEvents: false, bad: withBadPart, sound: SOUND },
  { name: 'request', losses: 3, hasEvents: false, bad: badRequest, sound: SOUND },
  { name: 'part of prompts that ends targets within answers', losses: 5, hasEvents: true, bad: withBadPart, sound: SOUND },
  { name: 'request that ends targets within answers', losses: 5, hasEvents: true, bad: badRequest, sound: SOUND }
]

/** Lets targets end, each noticed by another VM, and then a sound request be answered at one VM. */
async function crashTargets (world: World, vms: readonly Vm[], { losses, hasEvents, bad, sound }: BadContent): Promise<void> {
  for (let loss = 0; loss < losses; loss++) {
    await world.clock.tickAsync(200)
    const vm = vms[(loss * 7 + 1) % vms.length]!
    vm.quarantine.recordLoss(bad(loss), { incarnation: `t${loss}@1`, sentAt: performance.now() - 100, hasHead: true, hasEvents })
  }
  await world.clock.tickAsync(1)
  vms[0]!.quarantine.recordBegin(sound)
  vms[0]!.quarantine.recordCompletion(sound)
}

function countRefusing (vms: readonly Vm[], { bad }: BadContent): number {
  return vms.filter(({ quarantine }) => quarantine.find(bad(99)) !== undefined).length
}

const records = suite('records of quarantined content')
let world: World
records.after.each(() => world.clock.uninstall())

for (const [vmCount, content] of [2, 9, 195, 461].flatMap(count => CONTENTS.map(content => [count, content] as const))) {
  records(`${vmCount} VMs refuse the ${content.name} within the contact bound, and one that starts later does; what each sends stays small`, async () => {
    world = createWorld(vmCount)
    const vms = world.names.map(name => startVm(world, name))
    await crashTargets(world, vms, content)
    await world.clock.tickAsync(CONTACT_MILLISECONDS)
    assert.is(countRefusing(vms, content), vmCount)
    assert.ok(vms.every(({ quarantine }) => quarantine.find(content.sound) === undefined))
    assert.ok(world.largestDatagram < 60_000)
    vms[1]!.stop()
    const late = startVm(world, world.names[1]!)
    world.sentBytes.clear()
    await world.clock.tickAsync(CONTACT_MILLISECONDS)
    assert.is(countRefusing([late], content), 1)
    for (const bytes of world.sentBytes.values()) assert.ok(bytes <= MAXIMUM_BYTES, `${bytes} bytes in ${CONTACT_MILLISECONDS} ms`)
    for (const vm of [late, ...vms]) vm.stop()
  })
}

const LISTINGS: Array<{ name: string, disturb: (world: World) => Promise<void> }> = [
  { name: 'all VMs restart at once', disturb: async () => {} },
  {
    name: 'the store returns from an older copy, then all VMs restart at once',
    disturb: async world => {
      await Promise.all([world.store.restore(CONTACT_MILLISECONDS * 2, 500), world.clock.tickAsync(1000)])
      await world.clock.tickAsync(CONTACT_MILLISECONDS)
    }
  }
]
for (const [{ name, disturb }, content] of LISTINGS.flatMap(listing => CONTENTS.map(content => [listing, content] as const))) {
  records(`${name}: the store's records of a ${content.name} are applied at the start`, async () => {
    world = createWorld(9)
    let vms = world.names.map(vm => startVm(world, vm))
    const follow = setInterval(() => {
      void world.store.clientFor('reader', () => 0).list('').then(listed => {
        if (!listed.ok) return
        const entries = listed.value.entries.filter(({ key }) => key.startsWith(PREFIX))
        for (const vm of vms) {
          for (const entry of entries) vm.records.put(entry)
          vm.records.keepListed(new Set(entries.map(({ key }) => key)))
        }
      })
    }, 200)
    await crashTargets(world, vms, content)
    await world.clock.tickAsync(2 * CONTACT_MILLISECONDS)
    await disturb(world)
    for (const vm of vms) vm.stop()
    vms = world.names.map(vm => startVm(world, vm))
    await world.clock.tickAsync(500)
    assert.is(countRefusing(vms, content), 9)
    clearInterval(follow)
    for (const vm of vms) vm.stop()
  })
}

records('a record that cannot be read is skipped', () => {
  world = createWorld(1)
  const vm = startVm(world, 'vm-0')
  for (const value of ['{', '{}', '{"writtenAt":1,"evidence":[{}]}']) {
    vm.records.put({ key: `${PREFIX}x`, value, modRevision: 1, createRevision: 1 })
  }
  assert.is(vm.quarantine.tell().length, 0)
  vm.stop()
})

records.run()
