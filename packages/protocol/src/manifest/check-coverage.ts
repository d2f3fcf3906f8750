/**
 * Whether the targets' layer ranges make at least one whole path for each declared version and adapter of each model.
 */
import type { PlacedFault } from './placed-fault.js'
import type { Manifest, ManifestModel, ManifestPart } from './schema.js'

/** Lists versions and adapters that no path serves, with the gap. */
export function listCoverageFaults (manifest: Manifest): PlacedFault[] {
  return manifest.models.flatMap((model, index) => model.versions.flatMap((version, at) => {
    const parts = manifest.targets.flatMap(target => target.serves.filter(part => part.model === model.name && part.version === version))
    const gap = describeGap(model, parts)
    const path = ['models', index, 'versions', at]
    if (gap !== undefined) return [{ path, message: `no path covers version "${version}" of model "${model.name}": ${gap}` }]
    return listAdapterFaults(model, version, parts, index)
  }))
}

function listAdapterFaults (model: ManifestModel, version: string, parts: ManifestPart[], index: number): PlacedFault[] {
  return model.adapters.flatMap((adapter, at) => {
    const gap = describeGap(model, parts.filter(part => part.adapters.includes(adapter)))
    if (gap === undefined) return []
    const message = `no path covers adapter "${adapter}" at version "${version}" of model "${model.name}": ${gap}`
    return [{ path: ['models', index, 'adapters', at], message }]
  })
}

function describeGap (model: ManifestModel, parts: ManifestPart[]): string | undefined {
  const ranges = parts.map(part => part.layers).sort(([left], [right]) => left - right)
  const reached = new Set([0])
  for (const [from, to] of ranges) {
    if (reached.has(from)) reached.add(to)
  }
  if (reached.has(model.layers)) return undefined
  if (ranges.length === 0) return `no target serves it, layers [0, ${model.layers}) are missing`
  const end = Math.max(...[...reached].filter(boundary => boundary <= model.layers))
  const next = ranges.map(([from]) => from).find(from => from > end) ?? model.layers
  const crossing = ranges.find(([from, to]) => from < end && to > end && !reached.has(from))
  const hint = crossing === undefined ? '' : `; [${crossing[0]}, ${crossing[1]}) crosses layer ${end} but does not begin there`
  return `nothing that is reached from layer 0 goes on at layer ${end}, layers [${end}, ${next}) are missing${hint}`
}
