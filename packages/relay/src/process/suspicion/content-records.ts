/**
 * Spreads evidence against the content of requests: by datagram to peers, and, for what is quarantined, through the store, so that
 * processes that all restart at the same moment do not forget it.
 */
import { WriteResult, type KeyValueEntry, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import type { PeerLink } from '../../connection/peer-link.js'
import { digestKey } from '../../version/digest.js'
import { repeatInBackground } from '../background.js'
import type { Peers } from '../membership/peers.js'
import { QUARANTINE_MILLISECONDS, SubjectKind, lossKey } from './content-evidence.js'
import type { ContentQuarantine, ToldEvidence } from './content-quarantine.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** Receives the records of the store. */
export interface ContentRecords {
  start: () => void
  /** Applies a record that the store contains. */
  put: (entry: KeyValueEntry) => void
  /** Takes note that the store no longer contains a record; the evidence stays. */
  remove: (key: string) => void
  /** Applies a full listing of the store's keys. */
  keepListed: (keys: ReadonlySet<string>) => void
}

/** Dependencies of the records. */
export interface ContentRecordsDependencies {
  quarantine: ContentQuarantine
  keyPrefix: string
  store: PollableKeyValue
  peers: Peers
  link: PeerLink
  log: RelayLog
  signal: AbortSignal
  nextFloat: () => number
}

/** How one sort of evidence is told. */
interface EvidenceChannel {
  kinds: ReadonlySet<SubjectKind>
  /** Maximum number of subjects in one datagram. */
  maximumTold: number
  /** Number of peers that changed evidence is told to each time. */
  changedFanout: number
}

/**
 * Channels by their notification. Processes of earlier builds refuse a notification with a kind that they do not know as a whole, so later
 * kinds have one of their own, which these processes ignore. A target that ends breaks all its answers, so that there is much evidence of
 * losses within answers; little of it is told at once, the strongest first.
 */
const CHANNELS: Record<string, EvidenceChannel> = {
  'prompt-evidence': { kinds: new Set([SubjectKind.PromptPart, SubjectKind.Request]), maximumTold: 24, changedFanout: 4 },
  'answer-evidence': { kinds: new Set([SubjectKind.AnsweredPromptPart, SubjectKind.AnsweredRequest]), maximumTold: 6, changedFanout: 2 }
}
/** Interval at which changed evidence is told, milliseconds. */
const CHANGED_INTERVAL_MILLISECONDS = 200
/** Evidence counts as changed for this time, milliseconds: a few times longer than a change takes to reach a large fleet. */
const CHANGED_MILLISECONDS = 1500
/** Interval at which all evidence is told, for processes that have started since, milliseconds, and the number of peers each time. */
const ALL_INTERVAL_MILLISECONDS = 1000
const ALL_FANOUT = 2
/** Number of peers that are told of a loss at once. */
const LOSS_FANOUT = 24
/** Length of the digest in a key: short enough for the store's limit, long enough that no two subjects share one. */
const KEY_DIGEST_CHARACTERS = 32
/** Interval at which records that the store lacks are written, milliseconds. */
const WRITE_INTERVAL_MILLISECONDS = 500

const messageSchema = z.array(z.object({
  /**
   * Processes of earlier builds send evidence against parts of prompts only, and without a kind; those of later builds may send kinds that
   * this one does not know, beside others that it does.
   */
  kind: z.string().default(SubjectKind.PromptPart),
  service: z.string(),
  part: z.string().describe('the part, or the digest of the request'),
  hasBegun: z.boolean().describe('whether there has ever been the proof that the kind asks for'),
  hasControl: z.boolean(),
  /** Time since the last proof, milliseconds; absent if none is known. */
  beganAgo: z.number().optional(),
  losses: z.array(z.tuple([
    z.string().describe('incarnation of the target'),
    z.number().describe('time since the send, milliseconds'),
    z.number().describe('time since the end of the target, milliseconds'),
    z.boolean().describe('whether headers of the answer had arrived'),
    z.array(z.string()).describe('companions')
  ]).rest(z.unknown()))
}))
type EvidenceMessage = z.input<typeof messageSchema>
const KNOWN_KINDS: ReadonlySet<string> = new Set(Object.values(SubjectKind))

const recordSchema = z.object({
  /** Unix time at which the record was written, milliseconds. */
  writtenAt: z.number(),
  evidence: messageSchema
})

/** Creates the records of one process. */
export function createContentRecords (dependencies: ContentRecordsDependencies): ContentRecords {
  const { quarantine, keyPrefix, store, peers, link, log, signal } = dependencies
  const storedKeys = new Set<string>()
  const beingWritten = new Set<string>()

  for (const method of Object.keys(CHANNELS)) {
    link.on(method, parameters => {
      for (const told of decode(messageSchema.parse(parameters), 0)) quarantine.learn(told)
    })
  }
  quarantine.onLoss(kind => tell(CHANGED_MILLISECONDS, ({ kinds }) => kinds.has(kind) ? LOSS_FANOUT : 0))

  function tell (changedWithin: number, fanoutOf: (channel: EvidenceChannel) => number): void {
    const told = quarantine.tell(changedWithin)
    for (const [method, channel] of Object.entries(CHANNELS)) {
      const ofChannel = told.filter(({ kind }) => channel.kinds.has(kind)).slice(0, channel.maximumTold)
      const fanout = fanoutOf(channel)
      if (ofChannel.length === 0 || fanout === 0) continue
      const message = encode(ofChannel)
      for (const { address } of peers.sample(fanout)) link.notify(address, method, message)
    }
  }

  /** Writes the records that the store lacks. All VMs have the same evidence, so each writes with a probability of one in their number. */
  async function writeMissing (): Promise<void> {
    for (const told of quarantine.quarantined()) {
      const key = keyOf(told)
      if (storedKeys.has(key) || beingWritten.has(key)) continue
      if (dependencies.nextFloat() * (peers.known().length + 1) >= 1) continue
      beingWritten.add(key)
      await write(key, told).finally(() => beingWritten.delete(key))
    }
  }

  async function write (key: string, told: ToldEvidence): Promise<void> {
    const lease = await store.grantLease(QUARANTINE_MILLISECONDS)
    if (!lease.ok) return
    const value = JSON.stringify({ writtenAt: Date.now(), evidence: encode([told]) })
    const written = await store.compareAndSwap({ key, expectedModRevision: 0, value, leaseId: lease.value.leaseId })
    if (written.kind === WriteResult.Committed) {
      storedKeys.add(key)
      log.info(RelayEvent.ContentRecorded, { kind: told.kind, service: told.service, subject: told.subject, key })
    }
  }

  function keyOf ({ kind, service, subject }: ToldEvidence): string {
    return keyPrefix + digestKey(kind === SubjectKind.PromptPart ? `${service} ${subject}` : `${kind} ${service} ${subject}`).slice(0, KEY_DIGEST_CHARACTERS)
  }

  return {
    start () {
      repeatInBackground(CHANGED_INTERVAL_MILLISECONDS, signal, () => tell(CHANGED_MILLISECONDS, ({ changedFanout }) => changedFanout))
      repeatInBackground(ALL_INTERVAL_MILLISECONDS, signal, () => tell(Infinity, () => ALL_FANOUT))
      repeatInBackground(WRITE_INTERVAL_MILLISECONDS, signal, () => { void writeMissing() })
    },
    put ({ key, value }) {
      storedKeys.add(key)
      try {
        const { writtenAt, evidence } = recordSchema.parse(JSON.parse(value))
        const age = Math.min(QUARANTINE_MILLISECONDS, Math.max(0, Date.now() - writtenAt))
        for (const told of decode(evidence, age)) quarantine.learn(told)
      } catch (error) {
        log.warn(RelayEvent.ContentRecordRefused, { key, reason: (error as Error).message.slice(0, 200) })
      }
    },
    remove: key => { storedKeys.delete(key) },
    keepListed (keys) {
      for (const key of [...storedKeys]) if (!keys.has(key)) storedKeys.delete(key)
    }
  }
}

function encode (told: readonly ToldEvidence[]): EvidenceMessage {
  const now = performance.now()
  return told.map(({ kind, service, subject, evidence }) => ({
    kind: kind === SubjectKind.PromptPart ? undefined : kind,
    service,
    part: subject,
    hasBegun: evidence.hasSucceeded,
    hasControl: evidence.hasControl,
    beganAgo: evidence.succeededAt === -Infinity ? undefined : Math.round(now - evidence.succeededAt),
    losses: [...evidence.losses.values()].map(({ incarnation, sentAt, endedAt, hasHead, companions }) =>
      [incarnation, Math.round(now - sentAt), Math.round(now - endedAt), hasHead, [...companions]])
  }))
}

/** @param age time since the message was written, milliseconds. */
function decode (message: z.output<typeof messageSchema>, age: number): ToldEvidence[] {
  const writtenAt = performance.now() - age
  return message.filter(({ kind }) => KNOWN_KINDS.has(kind)).map(({ kind, service, part, hasBegun, hasControl, beganAgo, losses }) => ({
    kind: kind as SubjectKind,
    service,
    subject: part,
    evidence: {
      hasSucceeded: hasBegun,
      hasControl,
      succeededAt: beganAgo === undefined ? -Infinity : writtenAt - beganAgo,
      losses: new Map(losses.map(([incarnation, sentAgo, endedAgo, hasHead, companions]) => [
        lossKey({ incarnation, hasHead }),
        { incarnation, sentAt: writtenAt - sentAgo, endedAt: writtenAt - endedAgo, hasHead, companions }
      ]))
    }
  }))
}
