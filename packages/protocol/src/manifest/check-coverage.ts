/**
 * Checks that the targets' layer ranges form at least one complete path for each declared version and adapter of each model.
 */
import type { PlacedFault } from './placed-fault.js'
import type { Manifest, ManifestModel, ManifestServedPart } from './schema.js'

/** Lists the versions and adapters that no path serves, each with the layers that are missing. */
export function listCoverageFaults (manifest: Manifest): PlacedFault[] {
  return manifest.models.flatMap((model, index) => model.versions.flatMap((version, versionIndex) => {
    const parts = manifest.targets.flatMap(target => target.serves.filter(part => part.model === model.name && part.version === version))
    const gap = describeGap(model, parts)
    const path = ['models', index, 'versions', versionIndex]
    if (gap !== undefined) return [{ path, message: `no path covers version "${version}" of model "${model.name}": ${gap}` }]
    return listAdapterFaults(model, version, parts, index)
  }))
}

function listAdapterFaults (model: ManifestModel, version: string, parts: ManifestServedPart[], index: number): PlacedFault[] {
  return model.adapters.flatMap((adapter, adapterIndex) => {
    const gap = describeGap(model, parts.filter(part => part.adapters.includes(adapter)))
    if (gap === undefined) return []
    const message = `no path covers adapter "${adapter}" at version "${version}" of model "${model.name}": ${gap}`
    return [{ path: ['models', index, 'adapters', adapterIndex], message }]
  })
}

function describeGap (model: ManifestModel, parts: ManifestServedPart[]): string | undefined {
  const ranges = parts.map(part => part.layers).sort(([left], [right]) => left - right)
  const reachedBoundaries = new Set([0])
  for (const [from, to] of ranges) {
    if (reachedBoundaries.has(from)) reachedBoundaries.add(to)
  }
  if (reachedBoundaries.has(model.layers)) return undefined
  if (ranges.length === 0) return `no target serves it, layers [0, ${model.layers}) are missing`
  const lastReached = Math.max(...[...reachedBoundaries].filter(boundary => boundary <= model.layers))
  const nextRangeStart = ranges.map(([from]) => from).find(from => from > lastReached) ?? model.layers
  const crossing = ranges.find(([from, to]) => from < lastReached && to > lastReached && !reachedBoundaries.has(from))
  const hint = crossing === undefined ? '' : `; [${crossing[0]}, ${crossing[1]}) crosses layer ${lastReached} but does not begin there`
  return `no chain of ranges from layer 0 continues at layer ${lastReached}, layers [${lastReached}, ${nextRangeStart}) are missing${hint}`
}
