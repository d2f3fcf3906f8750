/**
 * Compiles a manifest once into the tables that requests read. A compiled version never changes.
 */
import { StopSubject } from '@wigeonlead/protocol'
import type {
  ConfigurationHead, Manifest, ManifestModel, ManifestOperation, ManifestService, ManifestTarget, ManifestWorkspace
} from '@wigeonlead/protocol'

/** A part of a model at a target: one edge of the path search over layer boundaries. */
export interface StageOption {
  target: ManifestTarget
  version: string
  adapters: string[]
  from: number
  to: number
}

/** A model with the targets that hold parts of it. */
export interface CompiledModel {
  model: ManifestModel
  defaultVersion: string
  options: StageOption[]
}

/** A service with its operations' path patterns. */
export interface CompiledService {
  service: ManifestService
  operations: Array<{ operation: ManifestOperation, pattern: RegExp }>
}

/** One generation of the configuration, ready for requests. */
export interface CompiledVersion {
  head: ConfigurationHead
  manifest: Manifest
  models: ReadonlyMap<string, CompiledModel>
  services: ReadonlyMap<string, CompiledService>
  targets: ReadonlyMap<string, ManifestTarget>
  workspacesByKeyDigest: ReadonlyMap<string, ManifestWorkspace>
  workspaces: ReadonlyMap<string, ManifestWorkspace>
  /** Tells whether a planned stop of a target has begun. */
  isTargetStopping: (target: string, nowMilliseconds: number) => boolean
}

/** Compiles a manifest under its head. */
export function compileVersion (head: ConfigurationHead, manifest: Manifest): CompiledVersion {
  const stops = new Map(head.stops.filter(stop => stop.subject === StopSubject.Target).map(stop => [stop.name, stop]))
  return {
    head,
    manifest,
    models: new Map(manifest.models.map(model => [model.name, compileModel(model, manifest.targets)])),
    services: new Map(manifest.services.map(service => [service.name, compileService(service)])),
    targets: new Map(manifest.targets.map(target => [target.name, target])),
    workspaces: new Map(manifest.workspaces.map(workspace => [workspace.name, workspace])),
    workspacesByKeyDigest: new Map(manifest.workspaces.flatMap(workspace =>
      workspace.keyDigests.map(digest => [digest, workspace] as const))),
    isTargetStopping (target, nowMilliseconds) {
      const stop = stops.get(target)
      return stop !== undefined && stop.fromMilliseconds <= nowMilliseconds
    }
  }
}

function compileModel (model: ManifestModel, targets: ManifestTarget[]): CompiledModel {
  const options = targets.flatMap(target => target.serves.filter(part => part.model === model.name).map(part => ({
    target, version: part.version, adapters: part.adapters, from: part.layers[0], to: part.layers[1]
  })))
  return { model, options, defaultVersion: model.defaultVersion ?? model.versions.at(-1) ?? '' }
}

function compileService (service: ManifestService): CompiledService {
  return { service, operations: service.operations.map(operation => ({ operation, pattern: toPattern(operation.path) })) }
}

function toPattern (path: string): RegExp {
  const segments = path.split('/').map(segment => segment === '*' ? '[^/]+' : segment.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(`^${segments.join('/')}$`)
}
