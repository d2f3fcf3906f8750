/**
 * Relays without listeners on a store in memory.
 */
import {
  SILENT_RELAY_LOG, checkRelaySettings, createRelay, createStoreEra, type EngineClient, type PeerLink, type Relay, type RelayLog,
  type RelaySettings
} from '@wigeonlead/relay'
import { PLAIN_DIALECT } from './plain-dialect.js'
import type { RestoredStore } from './properties/restored-store.js'
import { testConfiguration } from './test-configuration.js'

/**
 * @param vm name of the VM, under which the peers reach it too.
 * @returns valid settings of a relay in the failure domain `east`.
 */
export function testRelaySettings (vm: string): RelaySettings {
  const checked = checkRelaySettings({
    node: { vm, failureDomain: 'east', ip: '127.0.0.1' },
    listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:1', peers: '127.0.0.1:1', metrics: '127.0.0.1:1' },
    store: { address: '127.0.0.1:1' },
    bounds: { repeatExtra: 200 },
    failureDomains: ['east']
  }, 'test')
  if (!checked.ok) throw new Error(checked.faults.join())
  return { ...checked.settings, listen: { ...checked.settings.listen, peers: vm } }
}

/**
 * Creates the relay of one VM, whose targets are listed in the store as JSON. It is not started.
 * @param options.peerAddress address of its peer link; by default its name.
 * @param options.engines calls to engines; over the network by default.
 * @param options.addressOf the address at which this VM reaches a target; by default the listed one.
 */
export function createStoreRelay (
  vm: string, store: RestoredStore, link: PeerLink,
  { peerAddress = vm, addressOf = listed => listed, engines, log = SILENT_RELAY_LOG, nextFloat = () => 0.5 }: {
    peerAddress?: string, addressOf?: (listed: string) => string, engines?: EngineClient, log?: RelayLog, nextFloat?: () => number
  } = {}
): Relay {
  const era = createStoreEra(SILENT_RELAY_LOG)
  const settings = testRelaySettings(vm)
  return createRelay({ ...settings, listen: { ...settings.listen, peers: peerAddress } }, {
    store: store.clientFor(vm, era.admit),
    era,
    dialect: PLAIN_DIALECT,
    link,
    keys: { configuration: 'configuration', targetPrefix: 'targets/' },
    decodeConfiguration: text => testConfiguration(Number(text)),
    decodeTarget (_id, text) {
      const target = JSON.parse(text)
      return { ...target, address: addressOf(target.address) }
    },
    engines,
    log,
    nextFloat
  })
}
