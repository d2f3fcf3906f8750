/**
 * Compiles a manifest into the lookup tables that requests read. A compiled version never changes.
 */
import { StopSubject } from '@wigeonlead/protocol'
import type {
  ConfigurationHead, Manifest, ManifestModel, ManifestOperation, ManifestService, ManifestTarget, ManifestWorkspace
} from '@wigeonlead/protocol'

/** A range of a model's layers at a target: one edge of the path search over layer boundaries. */
export interface StageOption {
  target: ManifestTarget
  version: string
  adapters: string[]
  from: number
  to: number
  /** Index of the target's failure domain in the manifest. */
  domain: number
  /** Fraction of the model's layers that the target serves. */
  share: number
  /** Class of interchangeable options: equal for options with the same layers, the same version and the same failure domain. */
  kind: number
}

/** A model with the targets that serve layers of it. */
export interface CompiledModel {
  model: ManifestModel
  defaultVersion: string
  /** Ordered by their first layer. */
  options: StageOption[]
}

/** A service with the path patterns of its operations. */
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
  /** Index of each failure domain in the manifest. */
  domainIndices: ReadonlyMap<string, number>
  /** Returns the one-way delay between two failure domains, given by their indices, milliseconds. */
  linkMilliseconds: (from: number, to: number) => number
  /**
   * Returns the targets that can replace a target, itself included: those whose first part has the same model, version and layers, or
   * the targets of the same service.
   */
  replicasOf: (target: string) => readonly string[]
  /** Returns whether a planned stop of a target has begun. */
  isTargetStopping: (target: string, nowMilliseconds: number) => boolean
}

const SAME_DOMAIN_DELAY_MILLISECONDS = 0.1
const UNDECLARED_LINK_DELAY_MILLISECONDS = 2
const NO_REPLICAS: readonly string[] = []

/** Compiles the manifest of one configuration generation, together with the generation's head. */
export function compileVersion (head: ConfigurationHead, manifest: Manifest): CompiledVersion {
  const stops = new Map(head.stops.filter(stop => stop.subject === StopSubject.Target).map(stop => [stop.name, stop]))
  const domains = new Map(manifest.failureDomains.map((name, position) => [name, position]))
  const replicas = compileReplicas(manifest)
  return {
    head,
    manifest,
    domainIndices: domains,
    linkMilliseconds: compileLinkDelays(manifest, domains),
    replicasOf: target => replicas.get(target) ?? NO_REPLICAS,
    models: new Map(manifest.models.map(model => [model.name, compileModel(model, manifest.targets, domains)])),
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

function compileModel (model: ManifestModel, targets: ManifestTarget[], domains: ReadonlyMap<string, number>): CompiledModel {
  const kinds = new Map<string, number>()
  const kindOf = (key: string): number => {
    const kind = kinds.get(key) ?? kinds.size
    kinds.set(key, kind)
    return kind
  }
  const options = targets.flatMap(target => target.serves.filter(part => part.model === model.name).map(part => ({
    target,
    version: part.version,
    adapters: part.adapters,
    from: part.layers[0],
    to: part.layers[1],
    domain: domains.get(target.failureDomain) ?? 0,
    share: (part.layers[1] - part.layers[0]) / model.layers,
    kind: kindOf(`${part.version} ${part.layers.join()} ${target.failureDomain}`)
  })))
  options.sort((left, right) => left.from - right.from)
  return { model, options, defaultVersion: model.defaultVersion ?? model.versions.at(-1) ?? '' }
}

function compileLinkDelays (manifest: Manifest, domains: ReadonlyMap<string, number>): (from: number, to: number) => number {
  const count = domains.size
  const delays = new Float64Array(count * count).fill(UNDECLARED_LINK_DELAY_MILLISECONDS)
  for (let domain = 0; domain < count; domain += 1) delays[domain * count + domain] = SAME_DOMAIN_DELAY_MILLISECONDS
  const declared = new Set(manifest.links.map(link => `${link.from} ${link.to}`))
  for (const { from, to, delayMilliseconds } of manifest.links) {
    const [first, second] = [domains.get(from) ?? 0, domains.get(to) ?? 0]
    delays[first * count + second] = delayMilliseconds
    if (!declared.has(`${to} ${from}`)) delays[second * count + first] = delayMilliseconds
  }
  return (from, to) => delays[from * count + to] ?? UNDECLARED_LINK_DELAY_MILLISECONDS
}

function compileReplicas (manifest: Manifest): Map<string, readonly string[]> {
  const targetsByGroup = new Map<string, string[]>()
  const add = (group: string, target: string): void => { targetsByGroup.set(group, [...targetsByGroup.get(group) ?? [], target]) }
  for (const target of manifest.targets) {
    for (const { model, version, layers } of target.serves.slice(0, 1)) add(`${model} ${version} ${layers.join()}`, target.name)
  }
  for (const service of manifest.services) {
    for (const target of service.targets) add(`service ${service.name}`, target.name)
  }
  return new Map([...targetsByGroup.values()].flatMap(members => members.map(member => [member, members] as const)))
}

function compileService (service: ManifestService): CompiledService {
  return { service, operations: service.operations.map(operation => ({ operation, pattern: toPattern(operation.path) })) }
}

function toPattern (path: string): RegExp {
  const segments = path.split('/').map(segment => segment === '*' ? '[^/]+' : segment.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(`^${segments.join('/')}$`)
}
