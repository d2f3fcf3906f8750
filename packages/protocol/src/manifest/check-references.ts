/**
 * What a manifest names has to stand in it, and ranges have to make sense.
 */
import type { LeftOut, PlacedFault } from './placed-fault.js'
import type { Manifest, ManifestModel, ManifestPart, ManifestService, ManifestTarget, ManifestWorkspace } from './schema.js'

const LARGEST_PORT = 65_535
const LARGEST_OCTET = 255

/** Lists references to what is not declared, and values that don't fit together. */
export function listReferenceFaults (manifest: Manifest, leftOut: LeftOut): PlacedFault[] {
  const known: Known = {
    failureDomains: new Set(manifest.failureDomains),
    models: new Map(manifest.models.map(model => [model.name, model])),
    modelNames: new Set([...manifest.models.map(model => model.name), ...leftOut.models]),
    serviceNames: new Set([...manifest.services.map(service => service.name), ...leftOut.services])
  }
  return [
    ...manifest.models.flatMap((model, index) => checkModel(model, ['models', index])),
    ...manifest.targets.flatMap((target, index) => checkTarget(target, ['targets', index], known)),
    ...manifest.services.flatMap((service, index) => checkService(service, ['services', index], known)),
    ...manifest.workspaces.flatMap((workspace, index) => checkWorkspace(workspace, ['workspaces', index], known)),
    ...manifest.links.flatMap((link, index) => [
      ...mustBeKnown(known.failureDomains, link.from, ['links', index, 'from'], 'failure domain'),
      ...mustBeKnown(known.failureDomains, link.to, ['links', index, 'to'], 'failure domain')
    ])
  ]
}

interface Known {
  failureDomains: ReadonlySet<string>
  models: ReadonlyMap<string, ManifestModel>
  modelNames: ReadonlySet<string>
  serviceNames: ReadonlySet<string>
}

type Path = PlacedFault['path']

function checkModel (model: ManifestModel, path: Path): PlacedFault[] {
  if (model.defaultVersion === undefined) return []
  return mustBeKnown(new Set(model.versions), model.defaultVersion, [...path, 'defaultVersion'], `version of model "${model.name}"`)
}

function checkTarget (target: ManifestTarget, path: Path, known: Known): PlacedFault[] {
  return [
    ...checkAddress(target.address, [...path, 'address']),
    ...mustBeKnown(known.failureDomains, target.failureDomain, [...path, 'failureDomain'], 'failure domain'),
    ...target.serves.flatMap((part, index) => checkPart(part, [...path, 'serves', index], known))
  ]
}

function checkPart (part: ManifestPart, path: Path, known: Known): PlacedFault[] {
  const [from, to] = part.layers
  const order = from < to ? [] : [{ path: [...path, 'layers'], message: `found [${from}, ${to}], wanted: a first layer below the end` }]
  const model = known.models.get(part.model)
  if (model === undefined) return [...order, ...mustBeKnown(known.modelNames, part.model, [...path, 'model'], 'model')]
  const beyond = `found [${from}, ${to}], wanted: layers within the ${model.layers} of model "${model.name}"`
  return [
    ...order,
    ...(to <= model.layers ? [] : [{ path: [...path, 'layers'], message: beyond }]),
    ...mustBeKnown(new Set(model.versions), part.version, [...path, 'version'], `version of model "${model.name}"`),
    ...part.adapters.flatMap((adapter, index) =>
      mustBeKnown(new Set(model.adapters), adapter, [...path, 'adapters', index], `adapter of model "${model.name}"`))
  ]
}

function checkService (service: ManifestService, path: Path, known: Known): PlacedFault[] {
  const empty = { path: [...path, 'targets'], message: `found none for service "${service.name}", wanted: at least one target` }
  const tokens = (['firstTokenMilliseconds', 'betweenTokensMilliseconds'] as const).filter(key => service.objectives?.[key] !== undefined)
  return [
    ...(service.targets.length === 0 ? [empty] : []),
    ...service.targets.flatMap((target, index) => [
      ...checkAddress(target.address, [...path, 'targets', index, 'address']),
      ...mustBeKnown(known.failureDomains, target.failureDomain, [...path, 'targets', index, 'failureDomain'], 'failure domain')
    ]),
    ...tokens.map(key => ({ path: [...path, 'objectives', key], message: 'found an objective of models, wanted: answerMilliseconds, since services make no tokens' }))
  ]
}

function checkWorkspace (workspace: ManifestWorkspace, path: Path, known: Known): PlacedFault[] {
  const listed = (names: string[] | undefined, key: string, set: ReadonlySet<string>, kind: string): PlacedFault[] =>
    (names ?? []).flatMap((name, index) => mustBeKnown(set, name, [...path, key, index], kind))
  return [
    ...listed(workspace.models, 'models', known.modelNames, 'model'),
    ...listed(workspace.services, 'services', known.serviceNames, 'service'),
    ...listed(workspace.failureDomains, 'failureDomains', known.failureDomains, 'failure domain')
  ]
}

function checkAddress (address: string, path: Path): PlacedFault[] {
  const split = address.lastIndexOf(':')
  const port = Number(address.slice(split + 1))
  const host = address.slice(0, split)
  const hasLargeOctet = !host.startsWith('[') && host.split('.').some(octet => Number(octet) > LARGEST_OCTET)
  if (port >= 1 && port <= LARGEST_PORT && !hasLargeOctet) return []
  return [{ path, message: `found "${address}", wanted: an IP number and a port from 1 to ${LARGEST_PORT}` }]
}

function mustBeKnown (known: ReadonlySet<string>, name: string, path: Path, kind: string): PlacedFault[] {
  if (known.has(name)) return []
  const choices = [...known].slice(0, 8).join(', ') + (known.size > 8 ? ', …' : '')
  return [{ path, message: `found "${name}", wanted: a declared ${kind} (${choices || 'none is declared'})` }]
}
