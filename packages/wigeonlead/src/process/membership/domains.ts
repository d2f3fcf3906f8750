/**
 * What a node keeps of the other failure domains: for each a few contacts and an aggregate, and the VM list's addresses.
 */
import type { DomainSummary, MemberEntry, RandomSource } from '@wigeonlead/protocol'

/** Contacts and aggregates of the other failure domains. */
export interface OtherDomains {
  names: () => string[]
  /** Takes a summary that is younger than the one that is kept. */
  merge: (summary: DomainSummary) => void
  /** Notes an entry of another failure domain that was heard from directly. */
  observe: (entry: MemberEntry) => void
  /** An address through which a failure domain may be reached; another one after a failure. */
  contactOf: (failureDomain: string) => string | undefined
  /** Notes whether an address could be reached. */
  noteContact: (address: string, isReached: boolean) => void
  /** Sets what the VM list says. */
  setListed: (listed: ListedAddress[]) => void
  /** Summaries to be told, another one at each call. */
  takeSummaries: (limit: number, except?: string) => DomainSummary[]
  summaries: () => DomainSummary[]
}

/** An entry VM as the VM list shows it. */
export interface ListedAddress {
  address: string
  failureDomain: string
}

interface KnownDomain {
  summary: DomainSummary
  learntMilliseconds: number
}

const CONTACTS_OF_A_DOMAIN = 3
const MAXIMUM_DOMAINS = 64
const FAILED_CONTACT_MILLISECONDS = 10_000

/** Makes an empty set of other failure domains. */
export function createOtherDomains (ownDomain: string, random: RandomSource): OtherDomains {
  const known = new Map<string, KnownDomain>()
  const failedAt = new Map<string, number>()
  let listed: ListedAddress[] = []
  let turn = 0

  function names (): string[] {
    const all = new Set([...known.keys(), ...listed.map(entry => entry.failureDomain)])
    all.delete(ownDomain)
    return [...all]
  }

  function hasFailed (address: string): boolean {
    const at = failedAt.get(address)
    return at !== undefined && performance.now() - at < FAILED_CONTACT_MILLISECONDS
  }

  function aged ({ summary, learntMilliseconds }: KnownDomain): DomainSummary {
    return { ...summary, ageMilliseconds: Math.round(summary.ageMilliseconds + performance.now() - learntMilliseconds) }
  }

  return {
    names,
    merge (summary) {
      if (summary.failureDomain === ownDomain) return
      const before = known.get(summary.failureDomain)
      if (before === undefined && known.size >= MAXIMUM_DOMAINS) return
      if (before !== undefined && aged(before).ageMilliseconds <= summary.ageMilliseconds) return
      known.set(summary.failureDomain, {
        summary: { ...summary, contacts: summary.contacts.slice(0, CONTACTS_OF_A_DOMAIN) }, learntMilliseconds: performance.now()
      })
    },
    observe (entry) {
      const before = known.get(entry.failureDomain)
      if (before === undefined) {
        if (known.size >= MAXIMUM_DOMAINS) return
        const summary = { failureDomain: entry.failureDomain, aliveMembers: 1, contacts: [entry], demand: {} }
        known.set(entry.failureDomain, {
          summary: { ...summary, ageMilliseconds: Number.MAX_SAFE_INTEGER }, learntMilliseconds: performance.now()
        })
        return
      }
      const others = before.summary.contacts.filter(contact => contact.address !== entry.address)
      before.summary = { ...before.summary, contacts: [entry, ...others].slice(0, CONTACTS_OF_A_DOMAIN) }
    },
    contactOf (failureDomain) {
      const contacts = (known.get(failureDomain)?.summary.contacts ?? []).map(contact => contact.address)
      const inList = listed.filter(entry => entry.failureDomain === failureDomain).map(entry => entry.address)
      const all = [...contacts, ...inList]
      const promising = all.filter(address => !hasFailed(address))
      const choice = promising.length > 0 ? promising : all
      return choice[Math.floor(random.nextFloat() * choice.length)]
    },
    noteContact (address, isReached) {
      if (isReached) failedAt.delete(address)
      else failedAt.set(address, performance.now())
      for (const [failed] of failedAt) {
        if (!hasFailed(failed)) failedAt.delete(failed)
      }
    },
    setListed: given => { listed = given },
    takeSummaries (limit, except) {
      const candidates = [...known.values()].filter(domain => domain.summary.failureDomain !== except)
      const count = Math.min(limit, candidates.length)
      turn += count
      return Array.from({ length: count }, (_, index) => candidates[(turn + index) % candidates.length]).flatMap(domain =>
        domain === undefined ? [] : [aged(domain)])
    },
    summaries: () => [...known.values()].map(aged)
  }
}
