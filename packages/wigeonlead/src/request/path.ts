/**
 * Path choice: an ordered list of stages that covers a model's layers exactly, with no gap and no overlap.
 */
import { FailureKind, Step, failed, success, type ModelReference, type Outcome, type PathStage, type RandomSource } from '@wigeonlead/protocol'
import type { CompiledModel, CompiledVersion, StageOption } from '../version/index.js'
import { TargetAvailability, type TargetBoard } from '../process/targets.js'

/** What a path is wanted for. */
export interface PathQuery {
  version: CompiledVersion
  model: CompiledModel
  reference: ModelReference
  prompt: string
  /** Targets that failed for this request. */
  excluded: ReadonlySet<string>
}

/** Chooses paths. */
export interface PathChooser {
  choose: (query: PathQuery) => Outcome<PathStage[]>
}

/** What the chooser needs. */
export interface PathChooserParts {
  targets: TargetBoard
  random: RandomSource
  failureDomain: string
}

const SUSPECT_COST = 1000
const OTHER_DOMAIN_COST = 0.5
const NOISE_COST = 0.25

/** Makes a path chooser. */
export function createPathChooser (parts: PathChooserParts): PathChooser {
  return {
    choose (query) {
      const usable = query.model.options.filter(option => isUsable(parts, query, option))
      const path = cheapestPath(usable, query.model.model.layers, option => costOf(parts, option))
      if (path !== undefined) return success(path.map(toStage))
      const detail = `no target serves all layers of ${query.reference.model} ${query.reference.version}`
      return failed({ kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail })
    }
  }
}

/** Finds the cheapest sequence of options that covers the layers [0, layerCount) exactly. */
export function cheapestPath (
  options: StageOption[], layerCount: number, costOf: (option: StageOption) => number
): StageOption[] | undefined {
  const best = new Map<number, { cost: number, path: StageOption[] }>([[0, { cost: 0, path: [] }]])
  for (const option of [...options].sort((left, right) => left.from - right.from)) {
    const before = best.get(option.from)
    if (before === undefined) continue
    const cost = before.cost + costOf(option)
    if (cost < (best.get(option.to)?.cost ?? Infinity)) best.set(option.to, { cost, path: [...before.path, option] })
  }
  return best.get(layerCount)?.path
}

function isUsable (parts: PathChooserParts, query: PathQuery, option: StageOption): boolean {
  return option.version === query.reference.version &&
    (query.reference.adapter === undefined || option.adapters.includes(query.reference.adapter)) &&
    !query.excluded.has(option.target.name) &&
    !query.version.isTargetStopping(option.target.name, Date.now()) &&
    parts.targets.availability(option.target.name) !== TargetAvailability.Leaving
}

function costOf (parts: PathChooserParts, option: StageOption): number {
  const { target } = option
  const queue = (parts.targets.inFlight(target.name) + 1) / target.capacity
  const suspicion = parts.targets.availability(target.name) === TargetAvailability.Suspect ? SUSPECT_COST : 0
  const distance = target.failureDomain === parts.failureDomain ? 0 : OTHER_DOMAIN_COST
  return queue + suspicion + distance + parts.random.nextFloat() * NOISE_COST
}

function toStage (option: StageOption): PathStage {
  return { target: option.target.name, address: option.target.address, layers: { from: option.from, to: option.to } }
}
