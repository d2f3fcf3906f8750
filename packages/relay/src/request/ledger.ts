/**
 * Tracks the sends of one attempt of a caller. Decides whether the request may be sent again, to how many further targets, and whether it
 * certainly has not run.
 */

/** State of one send. */
export enum SendState {
  /** Nothing reached the target. */
  NotSent = 'not-sent',
  /** Handed to a connection; the result is not known yet. */
  Sent = 'sent',
  /** The target reported that it did not run the request. */
  ReportedNotRun = 'said-not-run',
  /** The request may have run. */
  MayHaveRun = 'may-have-run'
}

/** One send of the request to one incarnation of a target. */
export interface Send {
  targetIncarnation: string
  state: SendState
}

/** What a VM that hands a request over tells the peer, so that all VMs together keep the limit of targets. */
export interface HandOverTerms {
  /** Incarnations of targets that the request has reached, or may have reached. The peer may send it to these. */
  reachedTargets: readonly string[]
  /** Number of other targets that the peer may send it to. */
  furtherTargets: number
}

/** What a peer tells about a request that was handed over to it. */
export interface ReachReport {
  /** Incarnations of targets that the request has reached, or may have reached, including those of `HandOverTerms`. */
  reachedTargets: readonly string[]
  /** Number of the peer's sends that reached, or may have reached, a target. */
  arrivals: number
}

/** One hand-over of the request to a peer. */
export interface HandOverSend {
  state: SendState
  /** Absent until the peer has told it, and where the peer tells none. */
  report?: ReachReport
  /** Whether the peer sends the request to no further target after its report. */
  isReportFinal: boolean
}

/** The sends of one attempt of a caller. */
export interface AttemptLedger {
  /** Adds a send that is about to start; the caller of this method updates its state. */
  begin: (targetIncarnation: string) => Send
  /** Adds a hand-over that is about to start; the caller of this method updates it. */
  beginHandOver: (terms: HandOverTerms) => HandOverSend
  /** Whether the route's repeat rule allows another send. */
  maySendAgain: () => boolean
  /**
   * @param isGone whether an incarnation has ended; it then no longer counts against the limit of targets.
   * @returns the incarnations that the request has reached or may have reached, if their number has reached the limit of targets: another
   * send may only go to one of them. Undefined below the limit, where any target may be chosen.
   */
  allowedTargets: (isGone: (targetIncarnation: string) => boolean) => ReadonlySet<string> | undefined
  /**
   * @param isGone see `allowedTargets`.
   * @returns the terms for a peer.
   */
  handOverTerms: (isGone: (targetIncarnation: string) => boolean) => HandOverTerms
  /** Whether it is certain that the request has not run and will not run. */
  isCertainlyNotRun: () => boolean
  /** Number of sends that reached, or may have reached, a target; not those of a VM that has handed the request over to this one. */
  possibleArrivals: () => number
  /** Number of different targets that the request reached, or may have reached. */
  reachedTargets: () => number
  /** @returns the report for the VM that has handed the request over. */
  report: () => ReachReport
  /** Incarnations of all targets that the request is known to have been sent to. */
  targetIncarnations: () => Set<string>
}

/** States that prove that the send did not and will not run the request. */
const NOT_RUN_STATES: ReadonlySet<SendState> = new Set([SendState.NotSent, SendState.ReportedNotRun])

/**
 * Creates a ledger without sends of this VM.
 * @param mayRunAgain whether a request that may have run may be sent once more.
 * @param maximumTargets maximum number of targets that the request may reach.
 * @param earlier the terms of the VM that has handed the request over; by default, nobody has.
 */
export function createAttemptLedger (mayRunAgain: boolean, maximumTargets: number, earlier?: HandOverTerms): AttemptLedger {
  const sends: Send[] = []
  const handOvers: Array<{ send: HandOverSend, terms: HandOverTerms }> = []
  const earlierTargets = earlier?.reachedTargets ?? []
  const limit = Math.min(maximumTargets, earlierTargets.length + (earlier?.furtherTargets ?? Infinity))

  function sendsThatReachedTarget (): Send[] {
    return sends.filter(send => send.state !== SendState.NotSent)
  }

  function knownTargets (): Set<string> {
    return new Set([
      ...earlierTargets,
      ...sendsThatReachedTarget().map(send => send.targetIncarnation),
      ...handOvers.flatMap(({ send }) => send.report?.reachedTargets ?? [])
    ])
  }

  /** @returns the number of targets that peers may have sent the request to without telling. */
  function unknownTargets (): number {
    return handOvers.reduce((sum, { send, terms }) => {
      if (send.isReportFinal || NOT_RUN_STATES.has(send.state)) return sum
      const told = send.report?.reachedTargets.filter(incarnation => !terms.reachedTargets.includes(incarnation)).length ?? 0
      return sum + Math.max(0, terms.furtherTargets - told)
    }, 0)
  }

  function presentTargets (isGone: (targetIncarnation: string) => boolean): string[] {
    return [...knownTargets()].filter(incarnation => !isGone(incarnation))
  }

  function areAllNotRun (): boolean {
    return sends.every(send => NOT_RUN_STATES.has(send.state)) && handOvers.every(({ send }) => NOT_RUN_STATES.has(send.state))
  }

  function possibleArrivals (): number {
    return handOvers.reduce(
      (sum, { send }) => sum + (send.report?.arrivals ?? (send.state === SendState.NotSent ? 0 : 1)), sendsThatReachedTarget().length
    )
  }

  return {
    begin (targetIncarnation) {
      const send = { targetIncarnation, state: SendState.NotSent }
      sends.push(send)
      return send
    },
    beginHandOver (terms) {
      const send: HandOverSend = { state: SendState.NotSent, isReportFinal: false }
      handOvers.push({ send, terms })
      return send
    },
    maySendAgain: () => mayRunAgain || areAllNotRun(),
    allowedTargets (isGone) {
      const incarnations = presentTargets(isGone)
      return incarnations.length + unknownTargets() < limit ? undefined : new Set(incarnations)
    },
    handOverTerms (isGone) {
      const reachedTargets = presentTargets(isGone)
      return { reachedTargets, furtherTargets: Math.max(0, limit - reachedTargets.length - unknownTargets()) }
    },
    isCertainlyNotRun: areAllNotRun,
    possibleArrivals,
    reachedTargets: () => knownTargets().size + unknownTargets(),
    report: () => ({ reachedTargets: [...knownTargets()], arrivals: possibleArrivals() }),
    targetIncarnations: () => new Set([...knownTargets(), ...sends.map(send => send.targetIncarnation)])
  }
}
