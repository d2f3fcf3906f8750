/**
 * Moves a generation off targets that will leave before it ends.
 */
import type { GenerationRequest, LayerRange, PathStage } from '@wigeonlead/protocol'
import { LogEvent } from '../process/logging.js'
import { TargetAvailability } from '../process/targets.js'
import type { RequestContext } from './context.js'
import { isServedIn } from './placement.js'
import type { GenerationOrder } from './generation-order.js'
import { createSessionMover } from './move.js'

/** Decides on session moves during one epoch. */
export interface GenerationMover {
  /**
   * Considers a move; to be called after each delivered token. Never waits.
   * @returns the path of the next epoch, or undefined if the current epoch goes on.
   */
  consider: (request: GenerationRequest, delivered: number) => PathStage[] | undefined
}

/** Creates the mover of one epoch of a generation. */
export function createGenerationMover (context: RequestContext, order: GenerationOrder): GenerationMover {
  const { engines, departureOf, paths, logger, metrics } = context.dependencies
  const { model, reference, prompt } = order
  const mover = createSessionMover({
    engines,
    findDeparture: target => departureOf?.(target),
    listSubstitutes: layers => listSubstitutes(context, order, layers),
    choosePath (excluded) {
      const path = paths.choose({ version: context.version, model, reference, prompt, workspace: context.workspace, excluded })
      return path.ok ? path.value : undefined
    }
  })

  return {
    consider (request, delivered) {
      const move = mover.consider(request, delivered)
      if (move === undefined) return undefined
      metrics.count('sessions_moved_total', { kind: move.kind })
      const targets = move.stages.map(stage => stage.target).join(',')
      logger.info(LogEvent.SessionMoved, { kind: move.kind, targets, delivered, epoch: request.epoch, detail: move.failure?.detail })
      return move.stages
    }
  }
}

/** Lists serving targets that hold exactly these layers, the least loaded first. */
function listSubstitutes (
  { dependencies, workspace }: RequestContext, { model, reference }: GenerationOrder, layers: LayerRange
): PathStage[] {
  const { targets } = dependencies
  const options = model.options.filter(({ target, version, adapters, from, to }) =>
    version === reference.version && from === layers.from && to === layers.to &&
    (reference.adapter === undefined || adapters.includes(reference.adapter)) &&
    isServedIn(workspace, target.failureDomain) &&
    targets.availability(target.name) === TargetAvailability.Serving &&
    targets.holds(target.name, reference, layers) !== false)
  const load = ({ target }: typeof options[number]): number => targets.inFlight(target.name) / target.capacity
  return options.sort((left, right) => load(left) - load(right))
    .map(({ target, from, to }) => ({ target: target.name, address: target.address, layers: { from, to } }))
}
