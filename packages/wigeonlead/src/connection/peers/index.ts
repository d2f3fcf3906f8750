/**
 * Calls between entry VMs.
 */
export { createHttpPeers, type HttpPeers, type HttpPeersOptions } from './peers.js'
export { DEFAULT_PEER_LIMITS, type PeerLimits, type PeerTlsCredentials } from './shared.js'
export type { PeerSecret } from './signature.js'
