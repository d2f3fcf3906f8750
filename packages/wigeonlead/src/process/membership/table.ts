/**
 * The table of one failure domain's entry VMs: which word about a node is newer, who is suspected, what is still to be told.
 */
import { createHash } from 'node:crypto'
import { MemberState, type MemberEntry } from '@wigeonlead/protocol'

/** What became of a word about a node. */
export enum MergeResult {
  /** It was newer than what the table held. */
  News = 'news',
  /** The table held the same. */
  Known = 'known',
  /** The table holds something newer, which the sender should hear. */
  Outdated = 'outdated'
}

/** The table of a failure domain, without the node itself. */
export interface MemberTable {
  /** Every entry that is not gone, by address. */
  present: () => MemberEntry[]
  gone: () => MemberEntry[]
  get: (address: string) => MemberEntry | undefined
  merge: (entry: MemberEntry) => MergeResult
  /** Notes that a node could not be reached: it is suspected, and gone when it doesn't refute that in time. */
  suspect: (address: string) => void
  /** Ends the suspicions that were not refuted in time and forgets the oldest of the gone. */
  sweep: () => void
  /** Entries that others may not know yet, the newest first. */
  takeRumors: (limit: number) => MemberEntry[]
  /** Tells an entry to others once more. */
  repeat: (address: string) => void
  /** Everything that a new node should know: all but the long gone. */
  whole: () => MemberEntry[]
  /** Digest over all that is not gone, this node included. */
  digest: (self: MemberEntry) => string
}

interface Row {
  entry: MemberEntry
  /** When the suspicion began or the node went, on the monotonic clock. */
  sinceMilliseconds: number
  sendsLeft: number
}

const SUSPICION_MILLISECONDS = 5000
const GONE_TOLD_MILLISECONDS = 60_000
const GONE_KEPT_MILLISECONDS = 86_400_000
const MAXIMUM_ROWS = 2048
const SENDS_PER_DOUBLING = 2

const STATE_RANK: Record<MemberState, number> = {
  [MemberState.Alive]: 0, [MemberState.Suspect]: 1, [MemberState.Leaving]: 2, [MemberState.Gone]: 3
}

/** Tells whether one word about a node is newer than another: by incarnation, then by state. */
export function isNewer (entry: MemberEntry, than: MemberEntry): boolean {
  if (entry.incarnation !== than.incarnation) return entry.incarnation > than.incarnation
  return STATE_RANK[entry.state] > STATE_RANK[than.state]
}

/**
 * Makes an empty table.
 * @param onChange called with each entry whose state or incarnation changed.
 */
export function createMemberTable (onChange: (entry: MemberEntry) => void): MemberTable {
  const rows = new Map<string, Row>()
  const suspicions = new Map<string, number>()
  let digest: string | undefined

  function set (entry: MemberEntry): void {
    rows.set(entry.address, { entry, sinceMilliseconds: performance.now(), sendsLeft: sendLimit(rows.size) })
    if (entry.state === MemberState.Suspect) suspicions.set(entry.address, performance.now())
    else suspicions.delete(entry.address)
    digest = undefined
    if (rows.size > MAXIMUM_ROWS) forgetOldest(rows)
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
        return MergeResult.News
      }
      if (isNewer(row.entry, entry)) return MergeResult.Outdated
      if (entry.generation > row.entry.generation) row.entry = { ...row.entry, generation: entry.generation }
      return MergeResult.Known
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
        if (row.entry.state === MemberState.Gone && now - row.sinceMilliseconds >= GONE_KEPT_MILLISECONDS) rows.delete(address)
      }
    },
    takeRumors (limit) {
      const hot = [...rows.values()].filter(row => row.sendsLeft > 0)
        .sort((left, right) => right.sendsLeft - left.sendsLeft).slice(0, limit)
      for (const row of hot) row.sendsLeft -= 1
      return hot.map(row => row.entry)
    },
    repeat (address) {
      const row = rows.get(address)
      if (row !== undefined) row.sendsLeft = Math.max(row.sendsLeft, SENDS_PER_DOUBLING)
    },
    whole () {
      const now = performance.now()
      return [...rows.values()]
        .filter(row => row.entry.state !== MemberState.Gone || now - row.sinceMilliseconds < GONE_TOLD_MILLISECONDS)
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
  return Math.ceil(SENDS_PER_DOUBLING * Math.log2(members + 2)) + 1
}

function forgetOldest (rows: Map<string, Row>): void {
  let oldest: Row | undefined
  for (const row of rows.values()) {
    if (row.entry.state === MemberState.Gone && (oldest === undefined || row.sinceMilliseconds < oldest.sinceMilliseconds)) oldest = row
  }
  if (oldest !== undefined) rows.delete(oldest.entry.address)
}
