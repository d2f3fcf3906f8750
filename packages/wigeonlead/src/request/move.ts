/**
 * Moves a session off targets that leave before it ends: the key-value cache of each stage is exported and imported at a
 * replacement with the same layers; failing that, the session is resumed elsewhere by prefill. The old epoch goes on
 * delivering while the caches are handed over.
 */
import type { EnginePort, Failure, GenerationRequest, LayerRange, Outcome, PathStage } from '@wigeonlead/protocol'

/** A session on its path. */
export type SessionOnPath = Pick<GenerationRequest, 'session' | 'epoch' | 'stages' | 'maximumTokens'>

/** How the session goes on along its new path. */
export enum MoveKind {
  /** The caches were handed over as the base of the next epoch. */
  Carried = 'carried',
  /** The next epoch fills its caches from the prompt and the delivered tokens. */
  Prefilled = 'prefilled'
}

/** A move: the next epoch runs along `stages`. */
export interface Move {
  kind: MoveKind
  stages: PathStage[]
  /** Why the caches were not carried; absent where the layers are divided in another way. */
  failure?: Failure
}

/** Decides on moves of one session. */
export interface SessionMover {
  /**
   * To be asked after each delivered token; never waits.
   * @param delivered number of tokens of the answer delivered so far.
   * @returns the move after which the next epoch runs, or undefined where this one goes on for now.
   */
  consider: (session: SessionOnPath, delivered: number) => Move | undefined
}

/** What a mover needs. */
export interface SessionMoverParts {
  engines: EnginePort
  /** When a leaving target will be gone, where anybody says; undefined while the target stays. */
  leaveOf: (target: string) => { untilMilliseconds?: number } | undefined
  /** Other targets that hold exactly these layers and may get the session, the best first. */
  substitutes: (layers: LayerRange) => PathStage[]
  /** Chooses any path without the given targets. */
  choosePath: (excluded: ReadonlySet<string>) => PathStage[] | undefined
}

const FORECAST_MARGIN = 1.5
const RETRY_MILLISECONDS = 1000

/** Makes the mover of one session. */
export function createSessionMover (parts: SessionMoverParts): SessionMover {
  const startedAt = performance.now()
  let considered = 0
  let notBefore = -Infinity
  let handover: { stages: PathStage[], move?: Move } | undefined

  function isLeaving ({ target }: PathStage): boolean {
    return parts.leaveOf(target) !== undefined
  }

  function endsInTime (tokensLeft: number, leaves: Array<{ untilMilliseconds?: number }>): boolean {
    const betweenTokens = (performance.now() - startedAt) / considered
    const endsAt = Date.now() + tokensLeft * betweenTokens * FORECAST_MARGIN
    return leaves.every(({ untilMilliseconds }) => untilMilliseconds !== undefined && endsAt < untilMilliseconds)
  }

  function replace (session: SessionOnPath, excluded: ReadonlySet<string>): PathStage[] | undefined {
    const used = new Set(session.stages.map(stage => stage.target))
    const stages = session.stages.map(stage => {
      if (!excluded.has(stage.target)) return stage
      const substitute = parts.substitutes(stage.layers).find(stage => !used.has(stage.target) && !isLeaving(stage))
      if (substitute !== undefined) used.add(substitute.target)
      return substitute
    })
    return stages.every(stage => stage !== undefined) ? stages : parts.choosePath(excluded)
  }

  function begin (session: SessionOnPath, stages: PathStage[]): void {
    const begun: NonNullable<typeof handover> = { stages }
    handover = begun
    void carry(parts.engines, session, stages).then(move => { begun.move = move })
  }

  return {
    consider (session, delivered) {
      considered += 1
      if (handover === undefined && !session.stages.some(isLeaving)) return undefined
      if (handover?.stages.some(isLeaving) === true) handover = undefined
      if (handover !== undefined) return handover.move
      const leaves = session.stages.flatMap(({ target }) => {
        const leave = parts.leaveOf(target)
        return leave === undefined ? [] : [{ target, ...leave }]
      })
      if (leaves.length === 0 || performance.now() < notBefore || endsInTime(session.maximumTokens - delivered, leaves)) return undefined
      const stages = replace(session, new Set(leaves.map(({ target }) => target)))
      if (stages === undefined) notBefore = performance.now() + RETRY_MILLISECONDS
      else begin(session, stages)
      return undefined
    }
  }
}

async function carry (engines: EnginePort, session: SessionOnPath, stages: PathStage[]): Promise<Move> {
  const pairs = stages.map(stage => ({ stage, from: session.stages.find(({ layers }) => isSameRange(layers, stage.layers)) }))
  const outcomes = await Promise.all(pairs.map(({ stage, from }) => carryStage(engines, session, from, stage)))
  const failure = outcomes.flatMap(outcome => outcome === undefined || outcome.ok ? [] : [outcome.failure])[0]
  const isCarried = outcomes.every(outcome => outcome?.ok === true)
  return isCarried ? { kind: MoveKind.Carried, stages } : { kind: MoveKind.Prefilled, stages, failure }
}

async function carryStage (
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
