/**
 * Listeners, and adapters of the ports to other systems over HTTP.
 */
export { createCallerListener } from './callers.js'
export { createOperatorListener, type OperatorViews } from './operators.js'
export { createHttpEngines } from './engines.js'
export { createHttpServices } from './services.js'
export {
  createHttpPeers, type HttpPeers, type HttpPeersOptions, type PeerLimits, type PeerSecret, type PeerTlsCredentials
} from './peers/index.js'
export { createRelayedKeyValue, type RelayedKeyValue, type RelayedKeyValueDependencies } from './key-value-relay.js'
