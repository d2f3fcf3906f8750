/**
 * Index of the declared model parts that targets hold. Its sources are the targets' full reports and the lists of missing parts that
 * peers pass on; the latest information about a target replaces the earlier one.
 */
import type { EngineReport, ModelPart, LayerRange, ManifestTarget, ModelReference } from '@wigeonlead/protocol'

/** The model parts that targets hold, as this node knows them. */
export interface HeldPartIndex {
  /** Records the parts in a target's full report. */
  recordHeldParts: (report: EngineReport) => void
  /** Records the declared parts that a target lacks; it holds all others. */
  recordMissingParts: (target: string, missing: readonly ModelPart[]) => void
  /** @returns whether a target holds a model's layers and can serve them; undefined for an unknown target, which counts as usable. */
  holds: (target: string, reference: ModelReference, layers: LayerRange) => boolean | undefined
}

type PartPredicate = (reference: ModelReference, layers: LayerRange) => boolean

/** Creates an index without targets. */
export function createHeldPartIndex (): HeldPartIndex {
  const predicates = new Map<string, PartPredicate>()

  return {
    recordHeldParts: report => { predicates.set(report.target, predicateFromHeld(report.held)) },
    recordMissingParts: (target, missing) => { predicates.set(target, predicateFromMissing(missing)) },
    holds: (target, reference, layers) => predicates.get(target)?.(reference, layers)
  }
}

/** @returns the declared parts that are missing in a target's report, or undefined if none is. */
export function listMissingParts (target: ManifestTarget, report: EngineReport): ModelPart[] | undefined {
  const missing = target.serves.flatMap(({ model, version, adapters, layers: [from, to] }): ModelPart[] => {
    const layers = { from, to }
    const held = report.held.find(part => isOfModel(part, { model, version }) && isWithin(layers, part.layers))
    if (held === undefined) return [{ model, version, adapters: [], layers }]
    const missingAdapters = adapters.filter(adapter => !held.adapters.includes(adapter))
    return missingAdapters.length === 0 ? [] : [{ model, version, adapters: missingAdapters, layers }]
  })
  return missing.length === 0 ? undefined : missing
}

function predicateFromHeld (held: readonly ModelPart[]): PartPredicate {
  return (reference, layers) => held.some(part => isOfModel(part, reference) && isWithin(layers, part.layers) &&
    (reference.adapter === undefined || part.adapters.includes(reference.adapter)))
}

function predicateFromMissing (missing: readonly ModelPart[]): PartPredicate {
  return (reference, layers) => !missing.some(part => isOfModel(part, reference) && isWithin(layers, part.layers) &&
    (part.adapters.length === 0 || (reference.adapter !== undefined && part.adapters.includes(reference.adapter))))
}

function isOfModel (part: ModelPart, { model, version }: ModelReference): boolean {
  return part.model === model && part.version === version
}

function isWithin (inner: LayerRange, outer: LayerRange): boolean {
  return outer.from <= inner.from && outer.to >= inner.to
}
