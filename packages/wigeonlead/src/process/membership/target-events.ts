/**
 * Target events that ride the gossip: one node's discovery that a target is suspect or leaving spares the others theirs.
 */
import { createHash } from 'node:crypto'
import { MemberState, type TargetEvent } from '@wigeonlead/protocol'

/** The target events that a node knows. */
export interface TargetEvents {
  /** Makes an event of this node. */
  announce: (target: string, state: MemberState) => TargetEvent
  /** @returns the events that were new. */
  merge: (events: TargetEvent[]) => TargetEvent[]
  /** Events that others may not know yet. */
  takeRumors: (limit: number) => TargetEvent[]
  /** Every event that is kept, the latest first. */
  all: (limit: number) => TargetEvent[]
  /** The kept events of targets that are leaving or gone, the latest first. */
  lasting: (limit: number) => TargetEvent[]
  /** Digest over the events of targets that are leaving or gone, so that two nodes find out that one lacks some. */
  digest: () => string
  /** Tells the events of targets that are leaving or gone once more. */
  repeat: () => void
  sweep: () => void
}

interface KnownEvent {
  event: TargetEvent
  learntMilliseconds: number
  sendsLeft: number
}

const MAXIMUM_EVENTS = 1024
const SENDS_OF_AN_EVENT = 12
/** Near its end an event is left out of digests, since nodes forget it at slightly different times. */
const AGE_SKEW_MILLISECONDS = 10_000

const KEPT_MILLISECONDS: Record<MemberState, number> = {
  [MemberState.Alive]: 60_000, [MemberState.Suspect]: 30_000, [MemberState.Leaving]: 600_000, [MemberState.Gone]: 600_000
}

/**
 * Makes an empty set of events.
 * @param reporter names this process; another one for each start, so that the count of events may begin anew.
 */
export function createTargetEvents (reporter: string): TargetEvents {
  const known = new Map<string, KnownEvent>()
  let sequence = 0

  function isLasting (item: KnownEvent): boolean {
    const { state } = item.event
    const isOfState = state === MemberState.Leaving || state === MemberState.Gone
    return isOfState && toAged(item).ageMilliseconds < KEPT_MILLISECONDS[state] - AGE_SKEW_MILLISECONDS
  }

  function keep (event: TargetEvent): void {
    const key = keyOf(event)
    known.delete(key)
    known.set(key, { event, learntMilliseconds: performance.now(), sendsLeft: SENDS_OF_AN_EVENT })
    const oldest = known.keys().next().value
    if (known.size > MAXIMUM_EVENTS && oldest !== undefined) known.delete(oldest)
  }

  return {
    announce (target, state) {
      const event = { target, state, reporter, sequence: ++sequence, ageMilliseconds: 0 }
      keep(event)
      return event
    },
    merge (events) {
      return events.filter(event => {
        const isNews = event.sequence > (known.get(keyOf(event))?.event.sequence ?? 0) && !isAged(event)
        if (isNews) keep(event)
        return isNews
      })
    },
    takeRumors (limit) {
      const hot = [...known.values()].filter(item => item.sendsLeft > 0)
        .sort((left, right) => right.sendsLeft - left.sendsLeft).slice(0, limit)
      for (const item of hot) item.sendsLeft -= 1
      return hot.map(toAged)
    },
    all: limit => [...known.values()].reverse().slice(0, limit).map(toAged),
    lasting: limit => [...known.values()].filter(isLasting).reverse().slice(0, limit).map(toAged),
    digest () {
      const lines = [...known.values()].filter(isLasting).map(({ event }) => `${keyOf(event)} ${event.sequence}`).sort()
      return lines.length === 0 ? '' : createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 16)
    },
    repeat () {
      for (const item of known.values()) {
        if (isLasting(item)) item.sendsLeft = Math.max(item.sendsLeft, 1)
      }
    },
    sweep () {
      for (const [key, item] of known) {
        if (isAged(toAged(item))) known.delete(key)
      }
    }
  }
}

function keyOf (event: TargetEvent): string {
  return `${event.target} ${event.reporter}`
}

function toAged ({ event, learntMilliseconds }: KnownEvent): TargetEvent {
  return { ...event, ageMilliseconds: Math.round(event.ageMilliseconds + performance.now() - learntMilliseconds) }
}

function isAged (event: TargetEvent): boolean {
  return event.ageMilliseconds >= KEPT_MILLISECONDS[event.state]
}
