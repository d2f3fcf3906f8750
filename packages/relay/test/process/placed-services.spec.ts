/**
 * Guards against a model service that never gets layers, or loses its route for good, because of what happens to another service: each of
 * them must be whole within 15 s of its last change, and cards that nothing happened to get no order. Load: three cards a service, one in
 * each of three failure domains, each large enough for the model.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  OrderResult, SILENT_RELAY_LOG, createDirectory, createPlanner, createServiceCards, gapsOf, type AcceleratorKind, type Directory,
  type EngineClient, type EngineProfile, type PlaceOrder, type Service, type Target
} from '@wigeonlead/relay'
import { testConfiguration, testConfigurationState } from '../test-configuration.js'
import { LARGE, testEngine, testTarget } from '../test-engine.js'

const STEP_MILLISECONDS = 200
const BOUND_MILLISECONDS = 15_000
const LOAD_MILLISECONDS = 2000
const DOMAINS = ['east', 'west', 'north']
/** Holds half of the model's layers and one more. */
const HALF: AcceleratorKind = { ...LARGE, memoryMegabytes: 5 * testEngine().layerMegabytes }
const PROFILE: EngineProfile = {
  ...testEngine(), layers: 8, loadMilliseconds: LOAD_MILLISECONDS, acceleratorKinds: new Map([['large', LARGE], ['half', HALF]])
}

interface World {
  /** Puts the service in force that are named, and no others. */
  configure: (...services: string[]) => void
  /** Starts the empty replicas of a service, by default large ones. */
  start: (service: string, acceleratorKind?: string) => void
  /** Lets the entry of a replica lapse, and brings it back as another incarnation, empty. */
  restart: (id: string, awayMilliseconds: number) => Promise<void>
  advance: (milliseconds: number) => Promise<void>
  isWhole: (service: string) => boolean
  /** Ids of the targets that got an order, in order. */
  orders: string[]
}

async function withServices (use: (world: World) => Promise<void>): Promise<void> {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
  const directory: Directory = createDirectory(SILENT_RELAY_LOG, 'east')
  const service = (name: string): [string, Service] =>
    [name, { name, healthPath: '/health', maximumConnections: 10, engine: name.startsWith('plain') ? undefined : PROFILE }]
  let version = 0
  const versions = new Map<number, string[]>()
  const configurationState = testConfigurationState(5000, text =>
    testConfiguration(Number(text), { routes: [], services: new Map(versions.get(Number(text))!.map(service)) }))
  const orders: string[] = []
  const engines = {
    report: async (target: Target) => ({ ordersAccepted: 0, isBusyWithOrder: false, bornAtMilliseconds: target.bornAtMilliseconds }),
    async place (target: Target, { from, to }: PlaceOrder) {
      orders.push(target.id)
      setTimeout(() => {
        const listed = directory.find(target.id)
        if (listed?.bornAtMilliseconds === target.bornAtMilliseconds) directory.put({ ...listed, layers: { from, to, weightsVersion: 1 } })
      }, LOAD_MILLISECONDS)
      return OrderResult.Accepted
    }
  } as unknown as EngineClient
  const lease = { isHeld: () => true, fence: () => 1, step: async () => {}, setKey () {}, release: async () => {} }
  const planner = createPlanner({ configurationState, directory, engines, lease, log: SILENT_RELAY_LOG })
  async function advance (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await clock.tickAsync(STEP_MILLISECONDS)
      void planner.step()
    }
  }
  try {
    await use({
      configure (...services) {
        version += 1
        versions.set(version, services)
        configurationState.adopt(String(version), 'store')
      },
      start (name, acceleratorKind = 'large') {
        for (const failureDomain of DOMAINS) {
          directory.put(testTarget(`${name}-${failureDomain}`, undefined, { service: name, failureDomain, acceleratorKind }))
        }
      },
      async restart (id, awayMilliseconds) {
        const target = directory.find(id)!
        directory.remove(id)
        await advance(awayMilliseconds)
        directory.put({ ...target, bornAtMilliseconds: target.bornAtMilliseconds + 1, layers: undefined })
      },
      advance,
      isWhole: name => gapsOf(directory.listed(name).map(target => ({
        id: target.id, failureDomain: target.failureDomain, kind: LARGE, held: target.layers, isBusy: false, isSettled: true
      })), PROFILE.layers).length === 0,
      orders
    })
  } finally {
    clock.uninstall()
  }
}

interface Case {
  name: string
  run: (world: World) => Promise<void>
  /** Services that are whole in the end. */
  whole: string[]
  /** How long after `run` they must be whole, milliseconds. */
  boundMilliseconds?: number
  /** Targets that may get orders after `run`; by default those of `whole`. */
  mayBeOrdered?: (id: string) => boolean
}

const CASES: Case[] = [
  {
    name: 'two model services start together',
    async run ({ configure, start }) {
      configure('first', 'second')
      start('first')
      start('second')
    },
    whole: ['first', 'second']
  },
  {
    name: 'the replicas of the second one start 8 s later',
    async run ({ configure, start, advance }) {
      configure('first', 'second')
      start('first')
      await advance(8000)
      start('second')
    },
    whole: ['first', 'second'],
    mayBeOrdered: id => id.startsWith('second')
  },
  {
    name: 'a version adds the second one',
    async run ({ configure, start, advance }) {
      configure('first')
      start('first')
      await advance(BOUND_MILLISECONDS)
      start('second')
      configure('first', 'second')
    },
    whole: ['first', 'second'],
    mayBeOrdered: id => id.startsWith('second')
  },
  {
    name: 'a version takes the second one away while its layers are loading, a later one brings it back, and its replicas are new',
    async run ({ configure, start, restart, advance }) {
      configure('first', 'second')
      start('first')
      start('second')
      await advance(3000)
      configure('first')
      await advance(5000)
      for (const domain of DOMAINS) await restart(`second-${domain}`, 0)
      configure('first', 'second')
    },
    whole: ['first', 'second'],
    mayBeOrdered: id => id.startsWith('second')
  },
  {
    name: 'one of three empty replicas restarts each 1.2 s',
    async run ({ configure, start, restart, advance }) {
      configure('first')
      start('first')
      for (let restarts = 0; restarts < 12; restarts += 1) {
        await advance(600)
        await restart('first-north', 600)
      }
    },
    whole: ['first'],
    boundMilliseconds: 0
  },
  {
    name: 'three failure domains share a chain, and one replica is back empty after 3 s',
    async run ({ configure, start, restart, advance }) {
      configure('first')
      start('first', 'half')
      await advance(BOUND_MILLISECONDS)
      await restart('first-west', 3000)
    },
    whole: ['first']
  }
]

const placed = suite('model services beside each other')

for (const { name, run, whole, boundMilliseconds = BOUND_MILLISECONDS, mayBeOrdered = () => true } of CASES) {
  placed(`${name}: each is whole`, () => withServices(async world => {
    await run(world)
    const before = world.orders.length
    await world.advance(boundMilliseconds)
    for (const service of whole) assert.ok(world.isWhole(service), `${service} is whole`)
    assert.equal(world.orders.slice(before).filter(id => !mayBeOrdered(id)), [])
    await world.advance(BOUND_MILLISECONDS)
    const settled = world.orders.length
    await world.advance(BOUND_MILLISECONDS)
    assert.equal(world.orders.slice(settled), [], 'the layout settles')
  }))
}

/** Guards against cards that are laid out without waiting for each other, because of what their failure domain lacked long before. */
placed('a failure domain loses all its cards: those that come later wait anew', () => {
  const clock = install({ toFake: ['performance'] })
  try {
    const serviceCards = createServiceCards()
    const card = testTarget('t1', undefined, { acceleratorKind: 'half' })
    const step = (...targets: Target[]): void => {
      serviceCards.track(targets)
      if (targets.length > 0) serviceCards.toCards(targets, PROFILE)
    }
    step(card)
    clock.tick(7000)
    step(card)
    assert.ok(serviceCards.stability.mayShare('east'))
    step()
    clock.tick(60_000)
    step()
    step({ ...card, bornAtMilliseconds: 2 })
    clock.tick(1000)
    assert.not(serviceCards.stability.isSettled('east'))
    assert.not(serviceCards.stability.mayShare('east'))
  } finally {
    clock.uninstall()
  }
})

placed.run()
