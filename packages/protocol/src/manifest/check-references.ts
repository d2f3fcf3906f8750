/**
 * Checks that every name that a manifest refers to is declared in it, and that ranges and addresses are valid.
 */
import type { MalformedItems, PlacedFault } from './placed-fault.js'
import type { Manifest, ManifestModel, ManifestServedPart, ManifestService, ManifestTarget, ManifestWorkspace } from './schema.js'

const MAXIMUM_PORT = 65_535
const MAXIMUM_OCTET = 255

/**
 * Lists references to undeclared names, and values that contradict each other.
 * @param malformed names of the malformed items, which are left out of `manifest`; references to these names are not faults.
 */
export function listReferenceFaults (manifest: Manifest, malformed: MalformedItems): PlacedFault[] {
  const declared: DeclaredNames = {
    failureDomains: new Set(manifest.failureDomains),
    models: new Map(manifest.models.map(model => [model.name, model])),
    modelNames: new Set([...manifest.models.map(model => model.name), ...malformed.models]),
    serviceNames: new Set([...manifest.services.map(service => service.name), ...malformed.services])
  }
  return [
    ...manifest.models.flatMap((model, index) => checkModel(model, ['models', index])),
    ...manifest.targets.flatMap((target, index) => checkTarget(target, ['targets', index], declared)),
    ...manifest.services.flatMap((service, index) => checkService(service, ['services', index], declared)),
    ...manifest.workspaces.flatMap((workspace, index) => checkWorkspace(workspace, ['workspaces', index], declared)),
    ...manifest.links.flatMap((link, index) => [
      ...checkDeclared(declared.failureDomains, link.from, ['links', index, 'from'], 'failure domain'),
      ...checkDeclared(declared.failureDomains, link.to, ['links', index, 'to'], 'failure domain')
    ])
  ]
}

interface DeclaredNames {
  failureDomains: ReadonlySet<string>
  models: ReadonlyMap<string, ManifestModel>
  modelNames: ReadonlySet<string>
  serviceNames: ReadonlySet<string>
}

type Path = PlacedFault['path']

function checkModel (model: ManifestModel, path: Path): PlacedFault[] {
  if (model.defaultVersion === undefined) return []
  return checkDeclared(new Set(model.versions), model.defaultVersion, [...path, 'defaultVersion'], `version of model "${model.name}"`)
}

function checkTarget (target: ManifestTarget, path: Path, declared: DeclaredNames): PlacedFault[] {
  return [
    ...checkAddress(target.address, [...path, 'address']),
    ...checkDeclared(declared.failureDomains, target.failureDomain, [...path, 'failureDomain'], 'failure domain'),
    ...target.serves.flatMap((part, index) => checkPart(part, [...path, 'serves', index], declared))
  ]
}

function checkPart (part: ManifestServedPart, path: Path, declared: DeclaredNames): PlacedFault[] {
  const [from, to] = part.layers
  const emptyRange = from < to ? [] : [{ path: [...path, 'layers'], message: `found [${from}, ${to}], wanted: a first layer below the end` }]
  const model = declared.models.get(part.model)
  if (model === undefined) return [...emptyRange, ...checkDeclared(declared.modelNames, part.model, [...path, 'model'], 'model')]
  const outOfRange = `found [${from}, ${to}], wanted: layers within the ${model.layers} of model "${model.name}"`
  return [
    ...emptyRange,
    ...(to <= model.layers ? [] : [{ path: [...path, 'layers'], message: outOfRange }]),
    ...checkDeclared(new Set(model.versions), part.version, [...path, 'version'], `version of model "${model.name}"`),
    ...part.adapters.flatMap((adapter, index) =>
      checkDeclared(new Set(model.adapters), adapter, [...path, 'adapters', index], `adapter of model "${model.name}"`))
  ]
}

function checkService (service: ManifestService, path: Path, declared: DeclaredNames): PlacedFault[] {
  const noTargets = { path: [...path, 'targets'], message: `found none for service "${service.name}", wanted: at least one target` }
  const tokenObjectives = (['firstTokenMilliseconds', 'betweenTokensMilliseconds'] as const).filter(key => service.objectives?.[key] !== undefined)
  return [
    ...(service.targets.length === 0 ? [noTargets] : []),
    ...service.targets.flatMap((target, index) => [
      ...checkAddress(target.address, [...path, 'targets', index, 'address']),
      ...checkDeclared(declared.failureDomains, target.failureDomain, [...path, 'targets', index, 'failureDomain'], 'failure domain')
    ]),
    ...tokenObjectives.map(key => ({ path: [...path, 'objectives', key], message: 'found an objective for models, wanted: answerMilliseconds, since services generate no tokens' }))
  ]
}

function checkWorkspace (workspace: ManifestWorkspace, path: Path, declared: DeclaredNames): PlacedFault[] {
  const checkNames = (names: string[] | undefined, key: string, declaredNames: ReadonlySet<string>, kind: string): PlacedFault[] =>
    (names ?? []).flatMap((name, index) => checkDeclared(declaredNames, name, [...path, key, index], kind))
  return [
    ...checkNames(workspace.models, 'models', declared.modelNames, 'model'),
    ...checkNames(workspace.services, 'services', declared.serviceNames, 'service'),
    ...checkNames(workspace.failureDomains, 'failureDomains', declared.failureDomains, 'failure domain')
  ]
}

function checkAddress (address: string, path: Path): PlacedFault[] {
  const portSeparator = address.lastIndexOf(':')
  const port = Number(address.slice(portSeparator + 1))
  const host = address.slice(0, portSeparator)
  const hasLargeOctet = !host.startsWith('[') && host.split('.').some(octet => Number(octet) > MAXIMUM_OCTET)
  if (port >= 1 && port <= MAXIMUM_PORT && !hasLargeOctet) return []
  return [{ path, message: `found "${address}", wanted: an IP number and a port from 1 to ${MAXIMUM_PORT}` }]
}

function checkDeclared (declared: ReadonlySet<string>, name: string, path: Path, kind: string): PlacedFault[] {
  if (declared.has(name)) return []
  const choices = [...declared].slice(0, 8).join(', ') + (declared.size > 8 ? ', …' : '')
  return [{ path, message: `found "${name}", wanted: a declared ${kind} (${choices || 'none is declared'})` }]
}
