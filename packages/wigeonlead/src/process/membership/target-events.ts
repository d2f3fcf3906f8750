/**
 * Target events that ride the gossip: one node's discovery that a target is suspect or leaving spares the others theirs.
 */
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
  sweep: () => void
}

interface KnownEvent {
  event: TargetEvent
  learntMilliseconds: number
  sendsLeft: number
}

const MAXIMUM_EVENTS = 1024
const SENDS_OF_AN_EVENT = 12

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
      const news = events.filter(event => event.sequence > (known.get(keyOf(event))?.event.sequence ?? 0) && !isAged(event))
      for (const event of news) keep(event)
      return news
    },
    takeRumors (limit) {
      const hot = [...known.values()].filter(item => item.sendsLeft > 0)
        .sort((left, right) => right.sendsLeft - left.sendsLeft).slice(0, limit)
      for (const item of hot) item.sendsLeft -= 1
      return hot.map(toAged)
    },
    all: limit => [...known.values()].reverse().slice(0, limit).map(toAged),
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
