/**
 * Target events carried by gossip: a node that finds a target suspect or leaving informs all others, so that they needn't detect it
 * themselves.
 */
import { createHash } from 'node:crypto'
import { MemberState, type TargetEvent } from '@wigeonlead/protocol'

/** The target events known to a node. */
export interface TargetEvents {
  /** Creates and stores an event reported by this node. */
  announce: (target: string, state: MemberState) => TargetEvent
  /** @returns the events that were new. */
  merge: (events: TargetEvent[]) => TargetEvent[]
  /** Returns events that peers may not have yet, and counts them as sent once more. */
  takeRumors: (limit: number) => TargetEvent[]
  /** Returns all stored events, the latest first. */
  all: (limit: number) => TargetEvent[]
  /** Returns the stored events of targets that are leaving or gone, the latest first. */
  departures: (limit: number) => TargetEvent[]
  /** Returns a digest over the events of targets that are leaving or gone; if it differs at two nodes, one of them lacks events. */
  digest: () => string
  /** Marks the events of targets that are leaving or gone to be sent to peers again. */
  resendDepartures: () => void
  /** Deletes expired events. */
  sweep: () => void
}

interface StoredEvent {
  event: TargetEvent
  learnedAtMilliseconds: number
  /** How many more times the event is sent to peers. */
  sendsLeft: number
}

const MAXIMUM_EVENTS = 1024
const SENDS_PER_EVENT = 12
/** An event that is about to expire is left out of digests, since nodes delete it at slightly different times. */
const EXPIRY_SKEW_MILLISECONDS = 10_000

const RETENTION_MILLISECONDS: Record<MemberState, number> = {
  [MemberState.Alive]: 60_000, [MemberState.Suspect]: 30_000, [MemberState.Leaving]: 600_000, [MemberState.Gone]: 600_000
}

/**
 * Creates an empty set of events.
 * @param reporter identifies this process; it differs at each start, so that the sequence numbers can begin at 1 again.
 */
export function createTargetEvents (reporter: string): TargetEvents {
  const storedEvents = new Map<string, StoredEvent>()
  let sequence = 0

  function isDeparture (item: StoredEvent): boolean {
    const { state } = item.event
    const isOfState = state === MemberState.Leaving || state === MemberState.Gone
    return isOfState && withCurrentAge(item).ageMilliseconds < RETENTION_MILLISECONDS[state] - EXPIRY_SKEW_MILLISECONDS
  }

  function store (event: TargetEvent): void {
    const key = keyOf(event)
    storedEvents.delete(key)
    storedEvents.set(key, { event, learnedAtMilliseconds: performance.now(), sendsLeft: SENDS_PER_EVENT })
    const oldest = storedEvents.keys().next().value
    if (storedEvents.size > MAXIMUM_EVENTS && oldest !== undefined) storedEvents.delete(oldest)
  }

  return {
    announce (target, state) {
      const event = { target, state, reporter, sequence: ++sequence, ageMilliseconds: 0 }
      store(event)
      return event
    },
    merge (events) {
      return events.filter(event => {
        const isNew = event.sequence > (storedEvents.get(keyOf(event))?.event.sequence ?? 0) && !isExpired(event)
        if (isNew) store(event)
        return isNew
      })
    },
    takeRumors (limit) {
      const pending = [...storedEvents.values()].filter(item => item.sendsLeft > 0)
        .sort((left, right) => right.sendsLeft - left.sendsLeft).slice(0, limit)
      for (const item of pending) item.sendsLeft -= 1
      return pending.map(withCurrentAge)
    },
    all: limit => [...storedEvents.values()].reverse().slice(0, limit).map(withCurrentAge),
    departures: limit => [...storedEvents.values()].filter(isDeparture).reverse().slice(0, limit).map(withCurrentAge),
    digest () {
      const lines = [...storedEvents.values()].filter(isDeparture).map(({ event }) => `${keyOf(event)} ${event.sequence}`).sort()
      return lines.length === 0 ? '' : createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 16)
    },
    resendDepartures () {
      for (const item of storedEvents.values()) {
        if (isDeparture(item)) item.sendsLeft = Math.max(item.sendsLeft, 1)
      }
    },
    sweep () {
      for (const [key, item] of storedEvents) {
        if (isExpired(withCurrentAge(item))) storedEvents.delete(key)
      }
    }
  }
}

function keyOf (event: TargetEvent): string {
  return `${event.target} ${event.reporter}`
}

function withCurrentAge ({ event, learnedAtMilliseconds }: StoredEvent): TargetEvent {
  return { ...event, ageMilliseconds: Math.round(event.ageMilliseconds + performance.now() - learnedAtMilliseconds) }
}

function isExpired (event: TargetEvent): boolean {
  return event.ageMilliseconds >= RETENTION_MILLISECONDS[event.state]
}
