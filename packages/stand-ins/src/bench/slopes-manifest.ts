/**
 * Manifests of a given size for the slopes experiment.
 */
import { digestText, manifestSchema, type HeldPart, type Manifest } from '@wigeonlead/protocol'

/** How large a manifest is made. */
export interface ManifestSize {
  failureDomains: number
  models: number
  workspaces: number
}

const LAYERS = 24

/** @returns the whole of a model as an engine holds it. */
export function slopePart (model: number): HeldPart {
  return { model: `model-${model}`, version: 'v1', adapters: [], layers: { from: 0, to: LAYERS } }
}

/** @returns the name of a failure domain. */
export function slopeDomain (index: number): string {
  return `domain-${index}`
}

/**
 * Makes a manifest whose targets are the given engines.
 * @param revision changes one workspace's weight, as a small change of the configuration does.
 */
export function createSlopeManifest (size: ManifestSize, engines: string[], revision: number): Manifest {
  return manifestSchema.parse({
    format: 1,
    failureDomains: Array.from({ length: size.failureDomains }, (_, index) => slopeDomain(index)),
    models: Array.from({ length: size.models }, (_, index) => ({ name: `model-${index}`, layers: LAYERS, versions: ['v1'] })),
    targets: engines.map((address, index) => ({
      name: `engine-${index}`,
      address,
      failureDomain: slopeDomain(index % size.failureDomains),
      accelerator: 'medium',
      serves: [{ model: `model-${index % size.models}`, version: 'v1', layers: [0, LAYERS] }]
    })),
    workspaces: Array.from({ length: size.workspaces }, (_, index) => ({
      name: `workspace-${index}`,
      keyDigests: [digestText(`key of workspace ${index}`)],
      weight: index === 0 ? 1 + revision % 100 : 1
    }))
  })
}
