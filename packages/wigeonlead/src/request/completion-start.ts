/**
 * Starts a completion under the version in force at that moment, on a path with free capacity. The capacity is reserved at each target of
 * the path until the generation has begun and is counted there itself.
 */
import { FailureKind, ProblemType, Step, createProblem, failed, success, type Outcome, type Problem } from '@wigeonlead/protocol'
import type { CompletionInput } from './completion-input.js'
import type { RequestContext } from './context.js'
import type { GenerationOrder } from './generation-order.js'

/** A completion that admission starts once there is capacity. */
export interface CompletionStart {
  /** Starts the completion if it may run and there is capacity; see `AdmissionRequest.start`. */
  tryStart: (isOverShare: boolean) => Outcome<boolean>
  /** Context of the completion, with the version under which it started. */
  context: RequestContext
  /** The generation, with the reserved path once it has started. */
  order: GenerationOrder
  /** Set if the completion may no longer run under the version in force. */
  problem?: Problem
  /** Releases the reserved capacity. */
  release: () => void
}

/** Share of each target's window that a workspace over its share may use, so that the tokens of other workspaces are not slowed down. */
const OVER_SHARE_CAPACITY_SHARE = 0.6

/**
 * Creates a completion that admission can start.
 * @param reparse parses the request again, under the version with which the completion starts.
 */
export function createCompletionStart (
  context: RequestContext, parsed: CompletionInput, reparse: () => CompletionInput | Problem
): CompletionStart {
  const start: CompletionStart = { tryStart, context, order: parsed.order, release: () => {} }

  function tryStart (isOverShare: boolean): Outcome<boolean> {
    const version = context.versionInForce()
    if (version !== undefined && version !== start.context.version) {
      const workspace = version.workspaces.get(context.workspace.name)
      start.context = { ...context, version, workspace: workspace ?? context.workspace }
      const reparsed = workspace === undefined ? workspaceRemovedProblem(context.workspace.name) : reparse()
      if ('type' in reparsed) return refuse(reparsed)
      start.order = reparsed.order
    }
    return reserve(isOverShare)
  }

  function refuse (problem: Problem): Outcome<boolean> {
    start.problem = problem
    return failed({ kind: FailureKind.Refused, step: Step.Admission, peer: 'local', detail: problem.detail })
  }

  function reserve (isOverShare: boolean): Outcome<boolean> {
    const { dependencies, version, workspace } = start.context
    const { model, reference, prompt } = start.order
    const query = { version, model, reference, prompt, workspace, excluded: new Set<string>() }
    const path = dependencies.paths.choose({ ...query, needsCapacity: true, capacityShare: isOverShare ? OVER_SHARE_CAPACITY_SHARE : 1 })
    if (!path.ok) {
      const anyPath = dependencies.paths.choose(query)
      return anyPath.ok ? success(false) : anyPath
    }
    const releases = path.value.map(stage => dependencies.targets.begin(stage.target))
    start.release = () => { for (const release of releases) release() }
    start.order = { ...start.order, firstPath: path.value }
    return success(true)
  }

  return start
}

function workspaceRemovedProblem (workspace: string): Problem {
  return createProblem(ProblemType.Forbidden, `workspace ${workspace} is not served any more`)
}
