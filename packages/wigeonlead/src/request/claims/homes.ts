/**
 * Chooses the home of each bucket: the node that commits the bucket's changes while it can be reached. Orders run at most once
 * whichever node is chosen.
 */
import { MemberState, type MemberEntry } from '@wigeonlead/protocol'
import { shortDigest } from './encoding.js'

/** Chooses the homes of buckets. */
export interface Homes {
  /**
   * Returns the addresses of the nodes to try in turn, the best first. When its own address is next or all have failed, this node
   * commits the changes itself.
   */
  candidates: (bucket: number) => string[]
  /** Excludes a node from the candidates for a while. */
  avoid: (address: string) => void
}

/** Membership from which homes are chosen. */
export interface HomesDependencies {
  self: () => MemberEntry
  members: () => MemberEntry[]
}

const AVOIDANCE_MILLISECONDS = 5000
const MAXIMUM_CANDIDATES_IN_DOMAIN = 2
const MAXIMUM_CACHED_WEIGHTS = 10_000

/**
 * Creates a chooser of homes by rendezvous hashing: first of the failure domain, then of the entry VM in it. A node that knows only
 * a few contacts of another failure domain thus still reaches the right domain, where the contact forwards the change.
 */
export function createHomes ({ self, members }: HomesDependencies): Homes {
  const avoidedUntil = new Map<string, number>()
  const weights = new Map<string, string>()

  function isUsable (member: MemberEntry): boolean {
    return member.state === MemberState.Alive && (avoidedUntil.get(member.address) ?? 0) <= performance.now()
  }

  function weight (name: string): string {
    const digest = weights.get(name) ?? shortDigest(name)
    if (weights.size >= MAXIMUM_CACHED_WEIGHTS) weights.clear()
    weights.set(name, digest)
    return digest
  }

  function rank (bucket: number, names: string[]): string[] {
    return names.sort((left, right) => weight(`${bucket}|${left}`) < weight(`${bucket}|${right}`) ? -1 : 1)
  }

  return {
    candidates (bucket) {
      const usable = members().filter(isUsable)
      const [domain] = rank(bucket, [...new Set(usable.map(member => member.failureDomain))])
      const rankedInDomain = (name: string | undefined): string[] =>
        rank(bucket, usable.filter(member => member.failureDomain === name).map(member => member.address))
      const [ownHome] = rankedInDomain(self().failureDomain)
      const ordered = [...rankedInDomain(domain).slice(0, MAXIMUM_CANDIDATES_IN_DOMAIN), ...ownHome === undefined ? [] : [ownHome]]
      return [...new Set(ordered)]
    },
    avoid: address => { avoidedUntil.set(address, performance.now() + AVOIDANCE_MILLISECONDS) }
  }
}
