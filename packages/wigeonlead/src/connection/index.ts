/**
 * What lives as long as a connection: listeners and the adapters of outside systems.
 */
export { createCallerListener } from './callers.js'
export { createOperatorListener, type OperatorViews } from './operators.js'
export { createHttpEngines } from './engines.js'
export { createHttpServices } from './services.js'
export {
  createHttpPeers, type HttpPeers, type HttpPeersOptions, type PeerLimits, type PeerSecret, type PeerTlsFiles
} from './peers/index.js'
export { createRelayedKeyValue, type RelayedKeyValue, type RelayedKeyValueParts } from './key-value-relay.js'
