/**
 * What lives as long as the process.
 */
export { createBeliefs, type Beliefs, type BeliefsParts, type VersionInForce } from './beliefs.js'
export { createDirectory, type Directory } from './directory.js'
export { createFreshness, type Freshness, type FreshnessParts } from './freshness.js'
export { ageOf, presentInstant, type Instant } from './instant.js'
export { createLoad, type Load, type Reservation } from './load.js'
export { createPathFinder, type FoundPath, type PathFinder, type PathQuery } from './path-finder.js'
export { gapsOf, planChain, planFirst, planRepair, type Card, type LayerSpan, type Placement } from './placement/plan.js'
export { RelayEvent, SILENT_RELAY_LOG, createRelayLog, type RelayLog, type RelayLogFields } from './relay-log.js'
export { createRepeatBudget, type RepeatBudget, type RepeatBudgetBounds } from './repeat-budget.js'
export { serveRelay, type RunningRelay } from './serve.js'
export { createStreamWatch, type StreamWatch, type WatchedRun } from './stream-watch.js'
export { checkRelaySettings, relaySettingsSchema, type RelaySettings, type RelaySettingsCheck } from './settings.js'
export { createPeers, type Peer, type Peers, type PeersParts } from './peers.js'
export { runStoreMirror, type MirrorOptions, type MirrorReader } from './store-mirror.js'
export { createRelay, type Relay, type RelayPorts } from './wire.js'
