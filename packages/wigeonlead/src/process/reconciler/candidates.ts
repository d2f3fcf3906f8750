/**
 * Ranks the nodes of a failure domain as candidates for a shared duty, and sets how often each candidate polls, so that many nodes
 * don't overload the platform's services.
 */
import { MemberState, digestText, type MemberEntry } from '@wigeonlead/protocol'

const FIRST_CANDIDATE_INTERVAL_MILLISECONDS = 3000
const MAXIMUM_INTERVAL_MILLISECONDS = 60_000

/** A task that one node or a few nodes of a failure domain perform for all of its nodes. */
export enum Duty {
  EngineOrders = 'engine-orders',
  VmList = 'vm-list'
}

/**
 * Returns the rank of a node by rendezvous hashing over the alive members of its failure domain; 0 is the first candidate.
 * A node that is missing from the member list is ranked as if it were in it.
 */
export function candidateRank (duty: Duty, failureDomain: string, address: string, members: readonly MemberEntry[]): number {
  const ownScore = rendezvousScore(duty, failureDomain, address)
  return members.filter(member => member.failureDomain === failureDomain && member.state === MemberState.Alive &&
    member.address !== address && rendezvousScore(duty, failureDomain, member.address) > ownScore).length
}

/** Returns how long a candidate waits between two reads of the lease key, in milliseconds; longer for later candidates. */
export function leasePollIntervalMilliseconds (rank: number): number {
  return Math.min(FIRST_CANDIDATE_INTERVAL_MILLISECONDS * (rank + 1), MAXIMUM_INTERVAL_MILLISECONDS)
}

function rendezvousScore (duty: Duty, failureDomain: string, address: string): string {
  return digestText(`${duty}/${failureDomain}/${address}`)
}
