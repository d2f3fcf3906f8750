/**
 * Which nodes of a failure domain try for its lease, and how often, so that many nodes don't flood the key-value service.
 */
import { MemberState, digestText, type MemberEntry } from '@wigeonlead/protocol'

const BASE_INTERVAL_MILLISECONDS = 3000
const LONGEST_INTERVAL_MILLISECONDS = 60_000

/**
 * Place of a node in the rendezvous order of a failure domain's live members; 0 is the first candidate.
 * A node that isn't among the members counts itself in.
 */
export function candidateRank (failureDomain: string, address: string, members: readonly MemberEntry[]): number {
  const own = score(failureDomain, address)
  return members.filter(member => member.failureDomain === failureDomain && member.state === MemberState.Alive &&
    member.address !== address && score(failureDomain, member.address) > own).length
}

/** How long a candidate waits between two looks at the key, milliseconds. */
export function lookIntervalMilliseconds (rank: number): number {
  return Math.min(BASE_INTERVAL_MILLISECONDS * (rank + 1), LONGEST_INTERVAL_MILLISECONDS)
}

function score (failureDomain: string, address: string): string {
  return digestText(`${failureDomain}/${address}`)
}
