/**
 * Stores what a node knows about the other failure domains: a summary and a few contacts of each, and the addresses in the VM list.
 */
import type { DomainSummary, MemberEntry, RandomSource } from '@wigeonlead/protocol'

/** Contacts and summaries of the other failure domains. */
export interface OtherDomains {
  names: () => string[]
  /** Stores a summary if it is newer than the stored one. */
  merge: (summary: DomainSummary) => void
  /** Records a member of another failure domain that sent a message to this node. */
  observeMember: (entry: MemberEntry) => void
  /** Returns a random contact address of a failure domain; addresses that failed recently are avoided. */
  contactOf: (failureDomain: string) => string | undefined
  /** Records whether an address could be reached. */
  recordContactResult: (address: string, isReached: boolean) => void
  /** Replaces the addresses from the VM list. */
  setListed: (listed: ListedAddress[]) => void
  /** Returns summaries to send, rotating over the failure domains from call to call. */
  nextSummaries: (limit: number, exceptDomain?: string) => DomainSummary[]
  summaries: () => DomainSummary[]
}

/** Address of an entry VM from the VM list. */
export interface ListedAddress {
  address: string
  failureDomain: string
}

interface StoredDomain {
  summary: DomainSummary
  learnedAtMilliseconds: number
}

const CONTACTS_PER_DOMAIN = 3
const MAXIMUM_DOMAINS = 64
/** How long a contact that could not be reached is avoided. */
const FAILED_CONTACT_RETENTION_MILLISECONDS = 10_000

/** Creates an empty set of other failure domains. */
export function createOtherDomains (ownDomain: string, random: RandomSource): OtherDomains {
  const storedDomains = new Map<string, StoredDomain>()
  const failedAt = new Map<string, number>()
  let listed: ListedAddress[] = []
  let rotationOffset = 0

  function names (): string[] {
    const all = new Set([...storedDomains.keys(), ...listed.map(entry => entry.failureDomain)])
    all.delete(ownDomain)
    return [...all]
  }

  function hasFailed (address: string): boolean {
    const at = failedAt.get(address)
    return at !== undefined && performance.now() - at < FAILED_CONTACT_RETENTION_MILLISECONDS
  }

  function withCurrentAge ({ summary, learnedAtMilliseconds }: StoredDomain): DomainSummary {
    return { ...summary, ageMilliseconds: Math.round(summary.ageMilliseconds + performance.now() - learnedAtMilliseconds) }
  }

  return {
    names,
    merge (summary) {
      if (summary.failureDomain === ownDomain) return
      const stored = storedDomains.get(summary.failureDomain)
      if (stored === undefined && storedDomains.size >= MAXIMUM_DOMAINS) return
      if (stored !== undefined && withCurrentAge(stored).ageMilliseconds <= summary.ageMilliseconds) return
      storedDomains.set(summary.failureDomain, {
        summary: { ...summary, contacts: summary.contacts.slice(0, CONTACTS_PER_DOMAIN) }, learnedAtMilliseconds: performance.now()
      })
    },
    observeMember (entry) {
      const stored = storedDomains.get(entry.failureDomain)
      if (stored === undefined) {
        if (storedDomains.size >= MAXIMUM_DOMAINS) return
        const summary = { failureDomain: entry.failureDomain, aliveMembers: 1, contacts: [entry], demand: {} }
        storedDomains.set(entry.failureDomain, {
          summary: { ...summary, ageMilliseconds: Number.MAX_SAFE_INTEGER }, learnedAtMilliseconds: performance.now()
        })
        return
      }
      const others = stored.summary.contacts.filter(contact => contact.address !== entry.address)
      stored.summary = { ...stored.summary, contacts: [entry, ...others].slice(0, CONTACTS_PER_DOMAIN) }
    },
    contactOf (failureDomain) {
      const contacts = (storedDomains.get(failureDomain)?.summary.contacts ?? []).map(contact => contact.address)
      const listedAddresses = listed.filter(entry => entry.failureDomain === failureDomain).map(entry => entry.address)
      const all = [...contacts, ...listedAddresses]
      const withoutRecentFailure = all.filter(address => !hasFailed(address))
      const candidates = withoutRecentFailure.length > 0 ? withoutRecentFailure : all
      return candidates[Math.floor(random.nextFloat() * candidates.length)]
    },
    recordContactResult (address, isReached) {
      if (isReached) failedAt.delete(address)
      else failedAt.set(address, performance.now())
      for (const [failed] of failedAt) {
        if (!hasFailed(failed)) failedAt.delete(failed)
      }
    },
    setListed: addresses => { listed = addresses },
    nextSummaries (limit, exceptDomain) {
      const candidates = [...storedDomains.values()].filter(domain => domain.summary.failureDomain !== exceptDomain)
      const count = Math.min(limit, candidates.length)
      rotationOffset += count
      return Array.from({ length: count }, (_, index) => candidates[(rotationOffset + index) % candidates.length]).flatMap(domain =>
        domain === undefined ? [] : [withCurrentAge(domain)])
    },
    summaries: () => [...storedDomains.values()].map(withCurrentAge)
  }
}
