/**
 * The member table of one failure domain: decides which entry about a node is newer, marks suspects as gone after a timeout, and
 * tracks which entries are still to be sent to peers.
 */
import { createHash } from 'node:crypto'
import { MemberState, type MemberEntry } from '@wigeonlead/protocol'

/** Result of merging a received entry into the table. */
export enum MergeResult {
  /** The received entry was newer than the stored one and replaced it. */
  Newer = 'news',
  /** The stored entry has the same incarnation and state. */
  Unchanged = 'known',
  /** The stored entry is newer and should be sent to the sender. */
  Stale = 'outdated'
}

/** The members of a failure domain, without this node itself. */
export interface MemberTable {
  /** Returns all entries that are not gone. */
  present: () => MemberEntry[]
  gone: () => MemberEntry[]
  get: (address: string) => MemberEntry | undefined
  merge: (entry: MemberEntry) => MergeResult
  /** Records that a node could not be reached: an alive one becomes suspect. Unless a newer entry arrives in time, it becomes gone. */
  suspect: (address: string) => void
  /** Marks unreachable nodes without a newer entry in time as gone, and deletes entries that were gone for longer than their retention. */
  sweep: () => void
  /** Returns entries that peers may not have yet, those sent least often first, and counts them as sent once more. */
  takeRumors: (limit: number) => MemberEntry[]
  /** Marks an entry to be sent to peers again. */
  resend: (address: string) => void
  /** Returns the entries for a newly joined node: all except those that have been gone for longer than GONE_IN_SNAPSHOT_MILLISECONDS. */
  snapshot: () => MemberEntry[]
  /** Returns a digest over all entries that are not gone, this node's own entry included. */
  digest: (self: MemberEntry) => string
}

interface Row {
  entry: MemberEntry
  /** When the entry last changed, on the monotonic clock, milliseconds. */
  changedAt: number
  /** How many more times the entry is sent to peers. */
  sendsLeft: number
}

/** A suspect that has not refuted the suspicion after this time is gone. */
const SUSPICION_MILLISECONDS = 5000
const GONE_IN_SNAPSHOT_MILLISECONDS = 60_000
const GONE_RETENTION_MILLISECONDS = 86_400_000
const MAXIMUM_ROWS = 2048
/** Each doubling of the number of members adds this many sends to a new entry; an entry that is sent again gets at least this many. */
const SENDS_PER_MEMBERSHIP_DOUBLING = 2

const STATE_RANK: Record<MemberState, number> = {
  [MemberState.Alive]: 0, [MemberState.Suspect]: 1, [MemberState.Leaving]: 2, [MemberState.Gone]: 3
}

/** Returns whether an entry about a node is newer than another: by incarnation, then by state. */
export function isNewer (entry: MemberEntry, other: MemberEntry): boolean {
  if (entry.incarnation !== other.incarnation) return entry.incarnation > other.incarnation
  return STATE_RANK[entry.state] > STATE_RANK[other.state]
}

/**
 * Creates an empty table.
 * @param onChange called with each entry whose state or incarnation changed.
 */
export function createMemberTable (onChange: (entry: MemberEntry) => void): MemberTable {
  const rows = new Map<string, Row>()
  const suspicions = new Map<string, number>()
  let digest: string | undefined

  function set (entry: MemberEntry): void {
    rows.set(entry.address, { entry, changedAt: performance.now(), sendsLeft: sendLimit(rows.size) })
    if (entry.state === MemberState.Suspect) suspicions.set(entry.address, performance.now())
    else suspicions.delete(entry.address)
    digest = undefined
    if (rows.size > MAXIMUM_ROWS) deleteOldestGone(rows)
    onChange(entry)
  }

  function entries (isWanted: (entry: MemberEntry) => boolean): MemberEntry[] {
    return [...rows.values()].map(row => row.entry).filter(isWanted)
  }

  return {
    present: () => entries(entry => entry.state !== MemberState.Gone),
    gone: () => entries(entry => entry.state === MemberState.Gone),
    get: address => rows.get(address)?.entry,
    merge (entry) {
      const row = rows.get(entry.address)
      if (row === undefined || isNewer(entry, row.entry)) {
        const isSameProcess = row?.entry.incarnation === entry.incarnation
        set(isSameProcess ? { ...entry, generation: Math.max(entry.generation, row.entry.generation) } : entry)
        return MergeResult.Newer
      }
      if (isNewer(row.entry, entry)) return MergeResult.Stale
      if (entry.generation > row.entry.generation) row.entry = { ...row.entry, generation: entry.generation }
      return MergeResult.Unchanged
    },
    suspect (address) {
      const row = rows.get(address)
      if (row === undefined || row.entry.state === MemberState.Gone) return
      if (row.entry.state === MemberState.Alive) set({ ...row.entry, state: MemberState.Suspect })
      else if (!suspicions.has(address)) suspicions.set(address, performance.now())
    },
    sweep () {
      const now = performance.now()
      for (const [address, since] of suspicions) {
        const row = rows.get(address)
        if (row !== undefined && now - since >= SUSPICION_MILLISECONDS) set({ ...row.entry, state: MemberState.Gone })
      }
      for (const [address, row] of rows) {
        if (row.entry.state === MemberState.Gone && now - row.changedAt >= GONE_RETENTION_MILLISECONDS) rows.delete(address)
      }
    },
    takeRumors (limit) {
      const pending = [...rows.values()].filter(row => row.sendsLeft > 0)
        .sort((left, right) => right.sendsLeft - left.sendsLeft).slice(0, limit)
      for (const row of pending) row.sendsLeft -= 1
      return pending.map(row => row.entry)
    },
    resend (address) {
      const row = rows.get(address)
      if (row !== undefined) row.sendsLeft = Math.max(row.sendsLeft, SENDS_PER_MEMBERSHIP_DOUBLING)
    },
    snapshot () {
      const now = performance.now()
      return [...rows.values()]
        .filter(row => row.entry.state !== MemberState.Gone || now - row.changedAt < GONE_IN_SNAPSHOT_MILLISECONDS)
        .map(row => row.entry)
    },
    digest (self) {
      digest ??= entries(entry => entry.state !== MemberState.Gone).map(describeEntry).sort().join('\n')
      const lines = digest === '' ? [] : digest.split('\n')
      return createHash('sha256').update([...lines, describeEntry(self)].sort().join('\n')).digest('hex').slice(0, 16)
    }
  }
}

function describeEntry (entry: MemberEntry): string {
  return `${entry.address} ${entry.incarnation} ${entry.state}`
}

function sendLimit (members: number): number {
  return Math.ceil(SENDS_PER_MEMBERSHIP_DOUBLING * Math.log2(members + 2)) + 1
}

function deleteOldestGone (rows: Map<string, Row>): void {
  let oldest: Row | undefined
  for (const row of rows.values()) {
    if (row.entry.state === MemberState.Gone && (oldest === undefined || row.changedAt < oldest.changedAt)) oldest = row
  }
  if (oldest !== undefined) rows.delete(oldest.entry.address)
}
