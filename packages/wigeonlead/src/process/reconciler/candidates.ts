/**
 * Which nodes of a failure domain do a duty for all, and how often they try, so that many nodes don't flood the platform.
 */
import { MemberState, digestText, type MemberEntry } from '@wigeonlead/protocol'

const BASE_INTERVAL_MILLISECONDS = 3000
const LONGEST_INTERVAL_MILLISECONDS = 60_000

/** What one or a few nodes of a failure domain do for all. */
export enum Duty {
  EngineOrders = 'engine-orders',
  VmList = 'vm-list'
}

/**
 * Place of a node in the rendezvous order of a failure domain's live members; 0 is the first candidate.
 * A node that isn't among the members counts itself in.
 */
export function candidateRank (duty: Duty, failureDomain: string, address: string, members: readonly MemberEntry[]): number {
  const own = score(duty, failureDomain, address)
  return members.filter(member => member.failureDomain === failureDomain && member.state === MemberState.Alive &&
    member.address !== address && score(duty, failureDomain, member.address) > own).length
}

/** How long a candidate waits between two looks at the key, milliseconds. */
export function lookIntervalMilliseconds (rank: number): number {
  return Math.min(BASE_INTERVAL_MILLISECONDS * (rank + 1), LONGEST_INTERVAL_MILLISECONDS)
}

function score (duty: Duty, failureDomain: string, address: string): string {
  return digestText(`${duty}/${failureDomain}/${address}`)
}
