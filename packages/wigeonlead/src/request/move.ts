/**
 * Moves a session off targets that will leave before it ends. The key-value cache of each stage is exported and imported at a replacement
 * with the same layers. If a transfer fails, or if the replacement path splits the layers differently, the session is resumed on the
 * replacement path by prefill. The old epoch continues to deliver tokens while the caches are transferred.
 */
import type { EnginePort, Failure, GenerationRequest, LayerRange, Outcome, PathStage } from '@wigeonlead/protocol'

/** A session and the path of its current epoch. */
export type SessionOnPath = Pick<GenerationRequest, 'session' | 'epoch' | 'stages' | 'maximumTokens'>

/** How a session is resumed on its new path. */
export enum MoveKind {
  /** The caches of all stages were transferred for the next epoch. */
  CachesTransferred = 'carried',
  /** The next epoch fills its caches by prefill from the prompt and the delivered tokens. */
  Prefilled = 'prefilled'
}

/** A move of a session: its next epoch runs along `stages`. */
export interface Move {
  kind: MoveKind
  stages: PathStage[]
  /** Why a cache transfer failed; absent if none failed, also if stages with other layer ranges were not transferred at all. */
  failure?: Failure
}

/** Decides on the moves of one session. */
export interface SessionMover {
  /**
   * Considers a move; to be called after each delivered token. Never waits.
   * @param delivered number of tokens of the answer delivered so far.
   * @returns the move with which the next epoch begins, or undefined if the current epoch goes on for now.
   */
  consider: (session: SessionOnPath, delivered: number) => Move | undefined
}

/** Dependencies of a session mover. */
export interface SessionMoverDependencies {
  engines: EnginePort
  /**
   * @returns the departure of a target, or undefined if the target stays. `untilMilliseconds` is the time at which a leaving target will
   * be gone, milliseconds since 1970, if that is known.
   */
  findDeparture: (target: string) => { untilMilliseconds?: number } | undefined
  /** Lists targets that hold exactly these layers and may take the session, the best first. */
  listSubstitutes: (layers: LayerRange) => PathStage[]
  /** Chooses a whole path that avoids the given targets. */
  choosePath: (excluded: ReadonlySet<string>) => PathStage[] | undefined
}

/** Safety factor on the estimated time of the remaining tokens. */
const REMAINING_TIME_MARGIN = 1.5
/** Delay of the next search after no replacement path was found. */
const PATH_RETRY_MILLISECONDS = 1000

/** Creates the mover of one session. */
export function createSessionMover (dependencies: SessionMoverDependencies): SessionMover {
  const startedAt = performance.now()
  let consideredTokens = 0
  let retryAt = -Infinity
  let handover: { stages: PathStage[], move?: Move } | undefined

  function isLeaving ({ target }: PathStage): boolean {
    return dependencies.findDeparture(target) !== undefined
  }

  function endsInTime (tokensLeft: number, departures: Array<{ untilMilliseconds?: number }>): boolean {
    const betweenTokens = (performance.now() - startedAt) / consideredTokens
    const endsAt = Date.now() + tokensLeft * betweenTokens * REMAINING_TIME_MARGIN
    return departures.every(({ untilMilliseconds }) => untilMilliseconds !== undefined && endsAt < untilMilliseconds)
  }

  function findReplacementPath (session: SessionOnPath, excluded: ReadonlySet<string>): PathStage[] | undefined {
    const used = new Set(session.stages.map(stage => stage.target))
    const stages = session.stages.map(stage => {
      if (!excluded.has(stage.target)) return stage
      const substitute = dependencies.listSubstitutes(stage.layers).find(stage => !used.has(stage.target) && !isLeaving(stage))
      if (substitute !== undefined) used.add(substitute.target)
      return substitute
    })
    return stages.every(stage => stage !== undefined) ? stages : dependencies.choosePath(excluded)
  }

  function beginHandover (session: SessionOnPath, stages: PathStage[]): void {
    const newHandover: NonNullable<typeof handover> = { stages }
    handover = newHandover
    void transferCaches(dependencies.engines, session, stages).then(move => { newHandover.move = move })
  }

  return {
    consider (session, delivered) {
      consideredTokens += 1
      if (handover === undefined && !session.stages.some(isLeaving)) return undefined
      if (handover?.stages.some(isLeaving) === true) handover = undefined
      if (handover !== undefined) return handover.move
      const departures = session.stages.flatMap(({ target }) => {
        const departure = dependencies.findDeparture(target)
        return departure === undefined ? [] : [{ target, ...departure }]
      })
      if (
        departures.length === 0 || performance.now() < retryAt || endsInTime(session.maximumTokens - delivered, departures)
      ) return undefined
      const stages = findReplacementPath(session, new Set(departures.map(({ target }) => target)))
      if (stages === undefined) retryAt = performance.now() + PATH_RETRY_MILLISECONDS
      else beginHandover(session, stages)
      return undefined
    }
  }
}

async function transferCaches (engines: EnginePort, session: SessionOnPath, stages: PathStage[]): Promise<Move> {
  const pairs = stages.map(stage => ({ stage, from: session.stages.find(({ layers }) => isSameRange(layers, stage.layers)) }))
  const outcomes = await Promise.all(pairs.map(({ stage, from }) => transferStageCache(engines, session, from, stage)))
  const failure = outcomes.flatMap(outcome => outcome === undefined || outcome.ok ? [] : [outcome.failure])[0]
  const isTransferred = outcomes.every(outcome => outcome?.ok === true)
  return isTransferred ? { kind: MoveKind.CachesTransferred, stages } : { kind: MoveKind.Prefilled, stages, failure }
}

async function transferStageCache (
  engines: EnginePort, { session, epoch }: SessionOnPath, from: PathStage | undefined, stage: PathStage
): Promise<Outcome<void> | undefined> {
  if (from === undefined) return undefined
  const exported = await engines.exportCache(from, session, epoch)
  if (!exported.ok) return exported
  return await engines.importCache(stage, exported.value, epoch + 1)
}

function isSameRange (left: LayerRange, right: LayerRange): boolean {
  return left.from === right.from && left.to === right.to
}
