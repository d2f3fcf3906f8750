/**
 * Which declared parts targets hold, from whole reports or from what peers say is missing; the latest word counts.
 */
import type { EngineReport, HeldPart, LayerRange, ManifestTarget, ModelReference } from '@wigeonlead/protocol'

/** What targets hold, as one node knows it. */
export interface HeldParts {
  /** Takes note of a target's whole report. */
  noteHeld: (report: EngineReport) => void
  /** Takes note of the declared parts that a target lacks. */
  noteMissing: (target: string, missing: readonly HeldPart[]) => void
  /** Tells whether a target holds a part of a model, ready to serve; undefined where nothing is known, treated as usable. */
  holds: (target: string, reference: ModelReference, layers: LayerRange) => boolean | undefined
}

type Holds = (reference: ModelReference, layers: LayerRange) => boolean

/** Makes it, empty. */
export function createHeldParts (): HeldParts {
  const known = new Map<string, Holds>()

  return {
    noteHeld: report => { known.set(report.target, holdsByReport(report.held)) },
    noteMissing: (target, missing) => { known.set(target, holdsByMissing(missing)) },
    holds: (target, reference, layers) => known.get(target)?.(reference, layers)
  }
}

/** @returns the declared parts that a report lacks, or undefined where it lacks none. */
export function listMissing (target: ManifestTarget, report: EngineReport): HeldPart[] | undefined {
  const missing = target.serves.flatMap(({ model, version, adapters, layers: [from, to] }): HeldPart[] => {
    const layers = { from, to }
    const held = report.held.find(part => isOf(part, { model, version }) && isWithin(layers, part.layers))
    if (held === undefined) return [{ model, version, adapters: [], layers }]
    const lacking = adapters.filter(adapter => !held.adapters.includes(adapter))
    return lacking.length === 0 ? [] : [{ model, version, adapters: lacking, layers }]
  })
  return missing.length === 0 ? undefined : missing
}

function holdsByReport (held: readonly HeldPart[]): Holds {
  return (reference, layers) => held.some(part => isOf(part, reference) && isWithin(layers, part.layers) &&
    (reference.adapter === undefined || part.adapters.includes(reference.adapter)))
}

function holdsByMissing (missing: readonly HeldPart[]): Holds {
  return (reference, layers) => !missing.some(part => isOf(part, reference) && isWithin(layers, part.layers) &&
    (part.adapters.length === 0 || (reference.adapter !== undefined && part.adapters.includes(reference.adapter))))
}

function isOf (part: HeldPart, { model, version }: ModelReference): boolean {
  return part.model === model && part.version === version
}

function isWithin (inner: LayerRange, outer: LayerRange): boolean {
  return outer.from <= inner.from && outer.to >= inner.to
}
