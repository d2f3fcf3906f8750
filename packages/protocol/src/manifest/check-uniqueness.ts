/**
 * Checks that names, addresses, key digests, operations and links are unique in a manifest.
 */
import type { PlacedFault } from './placed-fault.js'
import type { Manifest } from './schema.js'

/** Lists every repeated value, except its first occurrence. */
export function listUniquenessFaults (manifest: Manifest): PlacedFault[] {
  const { models, targets, services, workspaces, links } = manifest
  return [
    ...listDuplicates(manifest.failureDomains.map((name, index) => ({ path: ['failureDomains', index], value: name }))),
    ...listDuplicates(models.map(({ name }, index) => ({ path: ['models', index, 'name'], value: name }))),
    ...models.flatMap((model, index) => [
      ...listDuplicates(model.versions.map((name, innerIndex) => ({ path: ['models', index, 'versions', innerIndex], value: name }))),
      ...listDuplicates(model.adapters.map((name, innerIndex) => ({ path: ['models', index, 'adapters', innerIndex], value: name })))
    ]),
    ...listDuplicates([
      ...targets.map(({ name }, index) => ({ path: ['targets', index, 'name'], value: name })),
      ...services.flatMap((service, index) => service.targets.map(({ name }, innerIndex) => ({ path: ['services', index, 'targets', innerIndex, 'name'], value: name })))
    ]),
    ...listDuplicates([
      ...targets.map(({ address }, index) => ({ path: ['targets', index, 'address'], value: address })),
      ...services.flatMap((service, index) => service.targets.map(({ address }, innerIndex) => ({
        path: ['services', index, 'targets', innerIndex, 'address'], value: address
      })))
    ]),
    ...listDuplicates(services.map(({ name }, index) => ({ path: ['services', index, 'name'], value: name }))),
    ...services.flatMap((service, index) => listDuplicates(service.operations.map(({ method, path }, innerIndex) => ({
      path: ['services', index, 'operations', innerIndex], value: `${method} ${path}`
    })))),
    ...listDuplicates(workspaces.map(({ name }, index) => ({ path: ['workspaces', index, 'name'], value: name }))),
    ...listDuplicates(workspaces.flatMap((workspace, index) => workspace.keyDigests.map((digest, innerIndex) => ({
      path: ['workspaces', index, 'keyDigests', innerIndex], value: digest
    })))),
    ...listDuplicates(links.map(({ from, to }, index) => ({ path: ['links', index], value: `${from} to ${to}` })))
  ]
}

function listDuplicates (items: Array<{ path: PlacedFault['path'], value: string }>): PlacedFault[] {
  const firstPaths = new Map<string, PlacedFault['path']>()
  return items.flatMap(({ path, value }) => {
    const firstPath = firstPaths.get(value)
    if (firstPath !== undefined) return [{ path, message: `found "${value}", which is already used at ${firstPath.join('.')}; wanted: a unique value` }]
    firstPaths.set(value, path)
    return []
  })
}
