/**
 * Confirmation of the configuration on demand, while the store rejects some VMs and serves the others: a VM whose configuration was not
 * confirmed recently asks the store and its peers.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { FailureKind, Step, failed, success, type KeyValueRead, type Outcome, type PollableKeyValue } from '@wigeonlead/protocol'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  SILENT_RELAY_LOG, createConfigurationState, createDirectory, createFreshnessCheck, createLoad, createPeers, createStoreEra,
  presentInstant, type ConfigurationState, type PeerLink, type Peers
} from '@wigeonlead/relay'
import { FULL_REACH } from '../test-target-reach.js'
import { testRateLimits } from '../test-rate-limits.js'
import { joinLinks } from '../joined-links.js'
import { padNumber } from '../padded-text.js'
import { testConfiguration } from '../test-configuration.js'

const REVOKE_MILLISECONDS = 5000
const CONFIGURATION_KEY = 'configuration'

type StoreAnswer = () => Promise<Outcome<KeyValueRead>>

const timingOut: StoreAnswer = () => new Promise(resolve => {
  setTimeout(() => resolve(failed({ kind: FailureKind.TimedOut, step: Step.KeyValue, peer: 'store', afterMilliseconds: 250, detail: '' })), 250)
})
const refusing: StoreAnswer = async () => failed({ kind: FailureKind.Refused, step: Step.KeyValue, peer: 'store', status: 429, detail: '' })
const withoutConfiguration: StoreAnswer = async () => success({ revision: 0 })
const withVersion = (version: number): StoreAnswer => async () =>
  success({ revision: version, entry: { key: CONFIGURATION_KEY, value: String(version), modRevision: version, createRevision: 1 } })

function startVm (
  vm: string, link: PeerLink, answer: StoreAnswer, peerNames: readonly string[]
): { configurationState: ConfigurationState, peers: Peers, refresh: () => Promise<void> } {
  const store = { get: answer } as unknown as PollableKeyValue
  const directory = createDirectory(SILENT_RELAY_LOG, 'east')
  const era = createStoreEra(SILENT_RELAY_LOG)
  const configurationState = createConfigurationState({
    decode: text => testConfiguration(Number(text)), log: SILENT_RELAY_LOG, revokeMilliseconds: REVOKE_MILLISECONDS
  })
  const peers = createPeers({
    self: { vm, address: vm, failureDomain: 'east' },
    keyPrefix: '',
    store,
    link,
    load: createLoad(),
    directory,
    limits: testRateLimits(vm),
    reach: FULL_REACH,
    verify () {},
    era,
    configurationState,
    log: SILENT_RELAY_LOG,
    signal: new AbortController().signal,
    nextFloat: () => 0
  })
  for (const peerName of peerNames) peers.put(peerName, JSON.stringify({ address: peerName, failureDomain: 'east' }))
  const freshness = createFreshnessCheck({
    ownVm: vm, store, configurationKey: CONFIGURATION_KEY, configurationState, peers, link, era, log: SILENT_RELAY_LOG
  })
  return { configurationState, peers, refresh: freshness.refresh }
}

interface Case {
  name: string
  store: StoreAnswer
  /** Configuration version that each peer uses, the age of its confirmation in milliseconds, and the length of its text. */
  peers: Array<{ version: number, age: number, characters?: number }>
  /** Version in use after the check. Its confirmation is fresh unless `isStale` is set. */
  version: number
  isStale?: boolean
  /** How long ago the key of this VM expired, so that its peers list it no longer, milliseconds. */
  unlistedMilliseconds?: number
  /** Time limit for the check, milliseconds. */
  limitMilliseconds: number
}

const CASES: Case[] = [
  { name: 'the store has no newer version', store: withVersion(1), peers: [], version: 1, limitMilliseconds: 10 },
  { name: 'the store has a newer version', store: withVersion(2), peers: [], version: 2, limitMilliseconds: 10 },
  { name: 'a peer answers while the store does not', store: timingOut, peers: [{ version: 1, age: 900 }], version: 1, limitMilliseconds: 10 },
  { name: 'a peer has a newer version', store: refusing, peers: [{ version: 3, age: 900 }], version: 3, limitMilliseconds: 10 },
  // Guards against a VM that knows that it is behind and can't catch up: long configurations did not pass between VMs.
  { name: 'a peer has a newer version of 60,000 characters', store: refusing, peers: [{ version: 3, age: 900, characters: 60_000 }], version: 3, limitMilliseconds: 10 },
  { name: 'a peer has a newer version of 500,000 characters', store: refusing, peers: [{ version: 3, age: 900, characters: 500_000 }], version: 3, limitMilliseconds: 10 },
  // Guard against a VM that the store turns away for longer than its key lives: its peers no longer answered it.
  { name: 'a peer has a newer version, and this VM has long been turned away', store: refusing, peers: [{ version: 3, age: 900 }], version: 3, unlistedMilliseconds: 20_000, limitMilliseconds: 10 },
  { name: 'a peer has a newer version, and this VM is forgotten', store: refusing, peers: [{ version: 3, age: 900 }], version: 1, isStale: true, unlistedMilliseconds: 70_000, limitMilliseconds: 260 },
  { name: 'one peer of two has a fresh confirmation', store: refusing, peers: [{ version: 1, age: 4800 }, { version: 1, age: 100 }], version: 1, limitMilliseconds: 10 },
  { name: "the peer's confirmation is stale too", store: refusing, peers: [{ version: 1, age: 4700 }], version: 1, isStale: true, limitMilliseconds: 260 },
  { name: 'a peer uses an older version', store: timingOut, peers: [{ version: 0, age: 10 }], version: 1, isStale: true, limitMilliseconds: 260 },
  { name: 'a store without a configuration confirms nothing', store: withoutConfiguration, peers: [], version: 1, isStale: true, limitMilliseconds: 260 },
  { name: 'neither the store nor a peer answers', store: timingOut, peers: [], version: 1, isStale: true, limitMilliseconds: 260 }
]

const freshnessChecks = suite('freshness')

for (const { name, store, peers, version, isStale = false, unlistedMilliseconds, limitMilliseconds } of CASES) {
  freshnessChecks(name, async () => {
    const clock: Clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
    try {
      clock.tick(20_000)
      const names = ['self', ...peers.map((_, index) => `peer-${index}`)]
      const links = joinLinks(names)
      const self = startVm('self', links.get('self')!, store, names.slice(1))
      self.configurationState.adopt('1', 'store')
      const peerVms = peers.map((_, index) => startVm(`peer-${index}`, links.get(`peer-${index}`)!, timingOut, ['self']))
      if (unlistedMilliseconds !== undefined) {
        for (const peerVm of peerVms) peerVm.peers.remove('self')
        clock.tick(unlistedMilliseconds)
      }
      for (const [index, peer] of peers.entries()) {
        const peerVm = peerVms[index]!
        peerVm.configurationState.adopt(padNumber(peer.version, peer.characters), 'store')
        const now = presentInstant()
        peerVm.configurationState.confirm({ monotonic: now.monotonic - peer.age, wallClock: now.wallClock - peer.age }, peer.version)
      }
      let hasEnded = false
      const ended = self.refresh().then(() => { hasEnded = true })
      await clock.tickAsync(limitMilliseconds)
      assert.ok(hasEnded)
      await ended
      assert.is(self.configurationState.current()?.configuration.version, version)
      assert.is(self.configurationState.areKeysFresh(), !isStale)
    } finally {
      clock.uninstall()
    }
  })
}

freshnessChecks('after a failed check, callers do not wait for another check until the cooldown has ended', async () => {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
  try {
    let storeCalls = 0
    const self = startVm('self', joinLinks(['self']).get('self')!, () => { storeCalls += 1; return timingOut() }, [])
    self.configurationState.adopt('1', 'store')
    const ended = Promise.all([self.refresh(), self.refresh()])
    await clock.tickAsync(260)
    await ended
    await self.refresh()
    assert.is(storeCalls, 1)
    clock.tick(500)
    void self.refresh()
    assert.is(storeCalls, 2)
  } finally {
    clock.uninstall()
  }
})

freshnessChecks.run()
