/**
 * The home of each bucket: the node that commits its changes while it can be reached. Safety never rests on it.
 */
import { MemberState, type MemberEntry } from '@wigeonlead/protocol'
import { shortDigest } from './encoding.js'

/** Chooses homes. */
export interface Homes {
  /** Nodes to try in turn, the best first; this node commits by itself after the last one, or where it meets itself. */
  candidates: (bucket: number) => string[]
  /** Passes a node over for a while. */
  avoid: (address: string) => void
}

/** The membership as the homes need it. */
export interface HomesParts {
  self: () => MemberEntry
  members: () => MemberEntry[]
}

const AVOIDANCE_MILLISECONDS = 5000
const CANDIDATES_IN_DOMAIN = 2
const MAXIMUM_WEIGHTS = 10_000

/**
 * Chooses homes by rendezvous hash: first the failure domain, then the entry VM in it, so that a node that knows only a few
 * contacts of another failure domain still reaches the right domain, where the contact passes the change on.
 */
export function createHomes ({ self, members }: HomesParts): Homes {
  const avoidedUntil = new Map<string, number>()
  const weights = new Map<string, string>()

  function isUsable (member: MemberEntry): boolean {
    return member.state === MemberState.Alive && (avoidedUntil.get(member.address) ?? 0) <= performance.now()
  }

  function weight (name: string): string {
    const known = weights.get(name) ?? shortDigest(name)
    if (weights.size >= MAXIMUM_WEIGHTS) weights.clear()
    weights.set(name, known)
    return known
  }

  function rank (bucket: number, names: string[]): string[] {
    return names.sort((left, right) => weight(`${bucket}|${left}`) < weight(`${bucket}|${right}`) ? -1 : 1)
  }

  return {
    candidates (bucket) {
      const usable = members().filter(isUsable)
      const [domain] = rank(bucket, [...new Set(usable.map(member => member.failureDomain))])
      const inDomain = (name: string | undefined): string[] =>
        rank(bucket, usable.filter(member => member.failureDomain === name).map(member => member.address))
      const [ownHome] = inDomain(self().failureDomain)
      const ordered = [...inDomain(domain).slice(0, CANDIDATES_IN_DOMAIN), ...ownHome === undefined ? [] : [ownHome]]
      return [...new Set(ordered)]
    },
    avoid: address => { avoidedUntil.set(address, performance.now() + AVOIDANCE_MILLISECONDS) }
  }
}
