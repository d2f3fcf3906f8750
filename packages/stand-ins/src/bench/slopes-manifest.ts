/**
 * Creates manifests of a given size for the slopes experiment.
 */
import { digestText, manifestSchema, type ModelPart, type Manifest } from '@wigeonlead/protocol'

/** Number of entries of each kind in a manifest. */
export interface ManifestSize {
  failureDomains: number
  models: number
  workspaces: number
}

const LAYERS = 24

/** @returns all layers of a model, as the part that an engine holds. */
export function createModelPart (model: number): ModelPart {
  return { model: `model-${model}`, version: 'v1', adapters: [], layers: { from: 0, to: LAYERS } }
}

/** @returns the name of a failure domain. */
export function failureDomainName (index: number): string {
  return `domain-${index}`
}

/**
 * Creates a manifest whose targets are the given engines.
 * @param revision sets the weight of one workspace, so that each revision is a small change of the configuration.
 */
export function createSlopeManifest (size: ManifestSize, engines: string[], revision: number): Manifest {
  return manifestSchema.parse({
    format: 1,
    failureDomains: Array.from({ length: size.failureDomains }, (_, index) => failureDomainName(index)),
    models: Array.from({ length: size.models }, (_, index) => ({ name: `model-${index}`, layers: LAYERS, versions: ['v1'] })),
    targets: engines.map((address, index) => ({
      name: `engine-${index}`,
      address,
      failureDomain: failureDomainName(index % size.failureDomains),
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
