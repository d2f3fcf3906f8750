/**
 * Passes the store's changes on within a failure domain: where many VMs share one, a few follow the store and the others follow them.
 * Calls to the store are priced and bounded for the whole fleet; a datagram within the failure domain is not.
 */
import type { WatchEvent } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pauseInBackground } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import { ageOf, instantBefore, presentInstant, type Instant } from './instant.js'
import type { Peer, Peers } from './peers.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** What a peer that follows the store passed on. */
export interface RelayedPage {
  changes: WatchEvent[]
  /** Revision up to which the changes are whole. */
  revision: number
  /** The copy was whole at that moment. */
  provedAt: Instant
  /** The peer reached the store again so long ago, milliseconds; absent where it did not lose it lately. */
  regainedMilliseconds?: number
}

/** Changes on their way through the failure domain. */
export interface MirrorRelay {
  /** Whether this VM follows the store for others, or for want of others. */
  followsStore: () => boolean
  /** Whether others follow this VM. */
  servesOthers: () => boolean
  /** Waits for changes from a peer; undefined where the store itself must be asked. */
  poll: (afterRevision: number) => Promise<RelayedPage | undefined>
  /** For a VM that the store does not answer: newer word from any peer; undefined where none has any. */
  pollInOutage: (afterRevision: number) => Promise<RelayedPage | undefined>
  /** Notes what the own copy took over, for others. */
  noteListed: (revision: number) => void
  noteChange: (change: WatchEvent) => void
  noteProved: (revision: number, provedAt: Instant) => void
  noteRegained: (agoMilliseconds: number) => void
}

/** Parts of the relay. */
export interface MirrorRelayParts {
  self: string
  failureDomain: string
  peers: Pick<Peers, 'known' | 'find' | 'anyOf'>
  link: PeerLink
  log: RelayLog
}

const ASK_METHOD = 'changes-asked'
const TELL_METHOD = 'changes-told'
/** Up to so many VMs of a failure domain each follow the store themselves: there is little to save. */
const MOST_FOLLOWING_ALONE = 4
/** VMs of a larger failure domain that follow the store: one may be lost. */
const STORE_FOLLOWERS = 2
/** A question waits so long for a change, milliseconds: two such waits and one lost datagram fit into the tightest bound of two seconds. */
const HOLD_MILLISECONDS = 400
/** A question without an answer is given up after so long, milliseconds: the hold and a slow moment of either VM. */
const ANSWER_LIMIT_MILLISECONDS = 650
/** A peer that did not answer is passed over for so long, milliseconds: its key lapses only later. */
const MUTE_MILLISECONDS = 3000
/** A peer whose own word is older cannot be followed, milliseconds: over two polls of the store for others, with their ways. */
const OLDEST_WORD_MILLISECONDS = 1250
/** The same for a VM that the store does not answer, milliseconds: older word is better than none, and its age is told. */
const OLDEST_WORD_IN_OUTAGE_MILLISECONDS = 2500
/** Peers that are drawn beside those of the own failure domain while the store does not answer: the cause may lie in the domain. */
const DRAWN_PEERS = 3
/** Changes that are kept for followers: those of a burst of all VMs' and targets' keys. */
const KEPT_CHANGES = 500
/** A longer answer does not fit a datagram; the follower asks the store. */
const ANSWER_BYTES_LIMIT = 48_000
/** The end of an outage concerns entries that lapsed in it for so long, milliseconds. */
const REGAINED_MILLISECONDS = 3000

const entrySchema = z.object({
  key: z.string(), value: z.string(), modRevision: z.number(), createRevision: z.number(), leaseId: z.string().optional()
})
const changeSchema = z.object({ key: z.string(), revision: z.number(), entry: entrySchema.optional() })
const askSchema = z.object({
  vm: z.string(),
  question: z.number(),
  after: z.number(),
  /** Age of the asker's own word, milliseconds, where only newer word is of use to it. */
  ownWordMilliseconds: z.number().optional()
})
const tellSchema = z.object({
  question: z.number(),
  /** Absent where the peer cannot tell: its history is too short, its word too old or the answer too long. */
  page: z.object({
    changes: z.array(changeSchema),
    revision: z.number(),
    ageMilliseconds: z.number().min(0),
    heldMilliseconds: z.number().min(0),
    regainedMilliseconds: z.number().optional()
  }).optional()
})

type Told = z.infer<typeof tellSchema>['page']

/** Starts to answer questions of peers. */
export function createMirrorRelay (parts: MirrorRelayParts): MirrorRelay {
  const { self, peers, link, log } = parts
  const kept: WatchEvent[] = []
  const held = new Set<{ after: number, newerThan?: Instant, answer: () => void }>()
  const questions = new Map<number, { askedAt: Instant, resolve: (page: RelayedPage | undefined) => void }>()
  /** The kept changes are whole after this revision. */
  let wholeAfter = Infinity
  let revision = 0
  let provedAt: Instant | undefined
  let regainedAt = -Infinity
  const muteUntil = new Map<string, number>()
  let nextQuestion = 1
  let preferred = 0
  let followed: string | undefined

  link.on(ASK_METHOD, parameters => {
    const asked = askSchema.parse(parameters)
    const peer = peers.find(asked.vm)
    if (peer === undefined) return
    const askedAt = performance.now()
    const newerThan = asked.ownWordMilliseconds === undefined ? undefined : instantBefore(presentInstant(), asked.ownWordMilliseconds)
    const waiting = { after: asked.after, newerThan, answer }
    function answer (): void {
      if (!held.delete(waiting)) return
      const isOfUse = isTelling(newerThan) && isNews(waiting)
      const page = isOfUse ? pageAfter(asked.after, performance.now() - askedAt) : undefined
      link.notify(peer!.address, TELL_METHOD, { question: asked.question, page })
    }
    held.add(waiting)
    if (revision > asked.after || !isTelling(newerThan) || (newerThan !== undefined && isNews(waiting))) answer()
    else void pauseInBackground(HOLD_MILLISECONDS).then(answer)
  })

  link.on(TELL_METHOD, parameters => {
    const { question, page } = tellSchema.parse(parameters)
    const known = questions.get(question)
    if (known === undefined) return
    known.resolve(page === undefined ? undefined : toRelayedPage(page, known.askedAt))
  })

  function isTelling (newerThan?: Instant): boolean {
    const oldest = newerThan === undefined ? OLDEST_WORD_MILLISECONDS : OLDEST_WORD_IN_OUTAGE_MILLISECONDS
    return provedAt !== undefined && ageOf(provedAt) <= oldest
  }

  /** Word that came from the asker itself, by way of others, is none. */
  function isNews ({ after, newerThan }: { after: number, newerThan?: Instant }): boolean {
    return newerThan === undefined || revision > after || ageOf(provedAt!) < ageOf(newerThan)
  }

  function pageAfter (after: number, heldMilliseconds: number): Told {
    if (after < wholeAfter) return undefined
    const changes = kept.filter(change => change.revision > after)
    if (Buffer.byteLength(JSON.stringify(changes)) > ANSWER_BYTES_LIMIT) return undefined
    const regainedMilliseconds = performance.now() - regainedAt
    return {
      changes,
      revision,
      ageMilliseconds: ageOf(provedAt!),
      heldMilliseconds,
      regainedMilliseconds: regainedMilliseconds < REGAINED_MILLISECONDS ? regainedMilliseconds : undefined
    }
  }

  function toRelayedPage (page: NonNullable<Told>, askedAt: Instant): RelayedPage {
    return {
      changes: page.changes,
      revision: page.revision,
      // The question arrived after it was asked, so the peer's word was at least as new as this.
      provedAt: instantBefore(askedAt, page.ageMilliseconds - page.heldMilliseconds),
      regainedMilliseconds: page.regainedMilliseconds
    }
  }

  function nearPeers (): Peer[] {
    return peers.known().filter(({ failureDomain }) => failureDomain === parts.failureDomain)
  }

  /** All processes order the VMs of a failure domain alike, so they agree on who follows the store without a word. */
  function storeFollowers (): string[] {
    const names = [self, ...nearPeers().map(({ vm }) => vm)].sort()
    return names.length <= MOST_FOLLOWING_ALONE ? names : names.slice(0, STORE_FOLLOWERS)
  }

  /** Asks the preferred peer, then the others, as far as they answer. */
  async function askInTurn (
    names: readonly string[], after: number, isInOutage: boolean
  ): Promise<{ peer: Peer, page: RelayedPage } | undefined> {
    const oldest = isInOutage ? OLDEST_WORD_IN_OUTAGE_MILLISECONDS : OLDEST_WORD_MILLISECONDS
    for (let tries = 0; tries < names.length; tries++) {
      const peer = peers.find(names[preferred % names.length]!)
      if (peer !== undefined && (muteUntil.get(peer.vm) ?? 0) < performance.now()) {
        const page = await ask(peer, after, isInOutage)
        if (page !== undefined && ageOf(page.provedAt) <= oldest + ANSWER_LIMIT_MILLISECONDS) return { peer, page }
      }
      preferred += 1
    }
    return undefined
  }

  async function ask (peer: Peer, after: number, isInOutage: boolean): Promise<RelayedPage | undefined> {
    const question = nextQuestion++
    const page = await new Promise<RelayedPage | undefined>(resolve => {
      questions.set(question, { askedAt: presentInstant(), resolve })
      const ownWordMilliseconds = isInOutage && provedAt !== undefined ? ageOf(provedAt) : undefined
      link.notify(peer.address, ASK_METHOD, { vm: self, question, after, ownWordMilliseconds })
      void pauseInBackground(ANSWER_LIMIT_MILLISECONDS).then(() => {
        if (questions.has(question)) muteUntil.set(peer.vm, performance.now() + MUTE_MILLISECONDS)
        resolve(undefined)
      })
    })
    questions.delete(question)
    return page
  }

  function noteFollowed (vm: string | undefined, reason: string): void {
    if (vm === followed) return
    followed = vm
    log.note(RelayEvent.StoreFollowed, { through: vm ?? 'itself', reason })
  }

  return {
    followsStore: () => storeFollowers().includes(self),
    servesOthers: () => {
      const followers = storeFollowers()
      return followers.includes(self) && followers.length < nearPeers().length + 1
    },
    async poll (after) {
      const followers = storeFollowers()
      if (followers.includes(self)) {
        noteFollowed(undefined, 'it is its turn')
        return undefined
      }
      const told = await askInTurn(followers, after, false)
      noteFollowed(told?.peer.vm, told === undefined ? `${followers.join(' and ')} could not tell` : 'it follows the store')
      return told?.page
    },
    async pollInOutage (after) {
      const near = storeFollowers().filter(vm => vm !== self)
      const told = await askInTurn([...new Set([...near, ...peers.anyOf(DRAWN_PEERS).map(({ vm }) => vm)])], after, true)
      if (told !== undefined) noteFollowed(told.peer.vm, 'the store does not answer')
      return told?.page
    },
    noteListed (listed) {
      kept.length = 0
      wholeAfter = listed
      revision = listed
    },
    noteChange (change) {
      kept.push(change)
      if (kept.length > KEPT_CHANGES) wholeAfter = Math.max(wholeAfter, kept.shift()!.revision)
    },
    noteProved (proved, at) {
      revision = Math.max(revision, proved)
      provedAt = at
      for (const waiting of [...held]) {
        if (revision > waiting.after || (waiting.newerThan !== undefined && isNews(waiting))) waiting.answer()
      }
    },
    noteRegained (agoMilliseconds) {
      regainedAt = performance.now() - agoMilliseconds
    }
  }
}
