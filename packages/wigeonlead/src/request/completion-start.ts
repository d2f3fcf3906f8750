/**
 * The start of a completion: under the version in force at that moment, on a path with room, whose places are held until the
 * generation has begun.
 */
import { FailureKind, ProblemType, Step, createProblem, failed, success, type Outcome, type Problem } from '@wigeonlead/protocol'
import type { CompletionInput } from './completion-input.js'
import type { RequestContext } from './context.js'
import type { GenerationOrder } from './generation-order.js'

/** One completion that wants to start. */
export interface CompletionStart {
  /** Starts the completion if it may run and there is room; see `AdmissionRequest.start`. */
  tryStart: (isOverShare: boolean) => Outcome<boolean>
  /** The context under which it started. */
  context: RequestContext
  /** What it generates, with its first path. */
  order: GenerationOrder
  /** Why it may not run any more. */
  problem?: Problem
  /** Gives the places back that were held for it. */
  release: () => void
}

/** Share of the room that is open to a workspace which runs more than its share, so that the others' tokens stay quick. */
const OVER_SHARE_ROOM = 0.6

/** @param parseAgain reads the request under the context of the start. */
export function createStart (
  context: RequestContext, parsed: CompletionInput, parseAgain: () => CompletionInput | Problem
): CompletionStart {
  const start: CompletionStart = { tryStart, context, order: parsed.order, release: () => {} }

  function tryStart (isOverShare: boolean): Outcome<boolean> {
    const version = context.versionInForce()
    if (version !== undefined && version !== start.context.version) {
      const workspace = version.workspaces.get(context.workspace.name)
      start.context = { ...context, version, workspace: workspace ?? context.workspace }
      const again = workspace === undefined ? withdrawn(context.workspace.name) : parseAgain()
      if ('type' in again) return refuse(again)
      start.order = again.order
    }
    return reserve(isOverShare)
  }

  function refuse (problem: Problem): Outcome<boolean> {
    start.problem = problem
    return failed({ kind: FailureKind.Refused, step: Step.Admission, peer: 'local', detail: problem.detail })
  }

  function reserve (isOverShare: boolean): Outcome<boolean> {
    const { parts, version, workspace } = start.context
    const { model, reference, prompt } = start.order
    const query = { version, model, reference, prompt, workspace, excluded: new Set<string>() }
    const path = parts.paths.choose({ ...query, needsRoom: true, roomShare: isOverShare ? OVER_SHARE_ROOM : 1 })
    if (!path.ok) {
      const any = parts.paths.choose(query)
      return any.ok ? success(false) : any
    }
    const releases = path.value.map(stage => parts.targets.begin(stage.target))
    start.release = () => { for (const release of releases) release() }
    start.order = { ...start.order, firstPath: path.value }
    return success(true)
  }

  return start
}

function withdrawn (workspace: string): Problem {
  return createProblem(ProblemType.Forbidden, `workspace ${workspace} is not served any more`)
}
