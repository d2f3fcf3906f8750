/**
 * Membership of entry VMs by gossip.
 */
export { createMembership, type Membership, type MembershipParts } from './membership.js'
export type { DemandShare } from './demand.js'
