/**
 * Membership of entry VMs by gossip.
 */
export { createMembership, type Membership, type MembershipOptions } from './membership.js'
export type { DemandShare } from './demand.js'
