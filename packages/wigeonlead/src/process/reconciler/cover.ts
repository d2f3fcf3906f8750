/**
 * Make before break: whether what is left still serves a layer range after a part goes.
 */
import { EngineRole, type HeldPart, type LayerRange } from '@wigeonlead/protocol'

/** A part of a model at a target that certainly serves it. */
export interface ServingPart {
  target: string
  role: EngineRole
  part: HeldPart
}

/** What is about to go. */
export interface Departure {
  target: string
  role: EngineRole
  part: HeldPart
  /** Only this adapter of the part goes. */
  adapter?: string
}

/**
 * Tells whether the layers of a departing part stay served by others, by an exact sequence of their ranges: either over the
 * part's own range or over the whole model under another division.
 */
export function isStillServed (departure: Departure, serving: readonly ServingPart[], modelLayers: number): boolean {
  const { part, adapter } = departure
  const ranges = serving.filter(candidate => !isDeparting(candidate, departure) && isSubstitute(candidate, departure, adapter))
    .map(candidate => candidate.part.layers)
  return canCompose(ranges, part.layers) || canCompose(ranges, { from: 0, to: modelLayers })
}

/** Tells whether some of the ranges, laid end to end, make exactly the wanted one. */
export function canCompose (ranges: readonly LayerRange[], wanted: LayerRange): boolean {
  const reached = new Set([wanted.from])
  for (const range of [...ranges].sort((left, right) => left.from - right.from)) {
    if (reached.has(range.from)) reached.add(range.to)
  }
  return reached.has(wanted.to)
}

/** Tells whether two parts are the same but for their adapters. */
export function isSamePart (left: HeldPart, right: HeldPart): boolean {
  return left.model === right.model && left.version === right.version &&
    left.layers.from === right.layers.from && left.layers.to === right.layers.to
}

function isDeparting (candidate: ServingPart, departure: Departure): boolean {
  return candidate.target === departure.target && isSamePart(candidate.part, departure.part)
}

function isSubstitute ({ role, part }: ServingPart, departure: Departure, adapter: string | undefined): boolean {
  return part.model === departure.part.model && part.version === departure.part.version &&
    (role === departure.role || role === EngineRole.Both) &&
    (adapter === undefined || part.adapters.includes(adapter))
}
