/**
 * Make before break: checks that a layer range is still served by the remaining parts after a part is removed.
 */
import { EngineRole, type ModelPart, type LayerRange } from '@wigeonlead/protocol'

/** A part of a model that a target is certain to serve. */
export interface ServingPart {
  target: string
  role: EngineRole
  part: ModelPart
}

/** A part, or one adapter of it, that is about to be removed from a target. */
export interface PartRemoval {
  target: string
  role: EngineRole
  part: ModelPart
  /** Set when only this adapter of the part is removed. */
  adapter?: string
}

/**
 * Returns whether the layers of a removed part are still served by other parts whose ranges join without gap or overlap: either
 * over the removed part's own range, or over the whole model if other parts split it at other layers.
 */
export function isStillServed (removal: PartRemoval, serving: readonly ServingPart[], modelLayers: number): boolean {
  const { part, adapter } = removal
  const ranges = serving.filter(candidate => !isRemoved(candidate, removal) && isSubstitute(candidate, removal, adapter))
    .map(candidate => candidate.part.layers)
  return canComposeRange(ranges, part.layers) || canComposeRange(ranges, { from: 0, to: modelLayers })
}

/** Returns whether some of the ranges, joined end to end without gap or overlap, give exactly the wanted range. */
export function canComposeRange (ranges: readonly LayerRange[], wanted: LayerRange): boolean {
  const reachedLayers = new Set([wanted.from])
  for (const range of [...ranges].sort((left, right) => left.from - right.from)) {
    if (reachedLayers.has(range.from)) reachedLayers.add(range.to)
  }
  return reachedLayers.has(wanted.to)
}

/** Returns whether two parts have the same model, version and layers; adapters are ignored. */
export function isSamePart (left: ModelPart, right: ModelPart): boolean {
  return left.model === right.model && left.version === right.version &&
    left.layers.from === right.layers.from && left.layers.to === right.layers.to
}

function isRemoved (candidate: ServingPart, removal: PartRemoval): boolean {
  return candidate.target === removal.target && isSamePart(candidate.part, removal.part)
}

function isSubstitute ({ role, part }: ServingPart, removal: PartRemoval, adapter: string | undefined): boolean {
  return part.model === removal.part.model && part.version === removal.part.version &&
    (role === removal.role || role === EngineRole.Both) &&
    (adapter === undefined || part.adapters.includes(adapter))
}
