/**
 * What may stand only once in a manifest: names, addresses, key digests, operations and links.
 */
import type { PlacedFault } from './placed-fault.js'
import type { Manifest } from './schema.js'

/** Lists what stands twice. */
export function listUniquenessFaults (manifest: Manifest): PlacedFault[] {
  const { models, targets, services, workspaces, links } = manifest
  return [
    ...listRepeats(manifest.failureDomains.map((name, index) => ({ path: ['failureDomains', index], value: name }))),
    ...listRepeats(models.map(({ name }, index) => ({ path: ['models', index, 'name'], value: name }))),
    ...models.flatMap((model, index) => [
      ...listRepeats(model.versions.map((name, at) => ({ path: ['models', index, 'versions', at], value: name }))),
      ...listRepeats(model.adapters.map((name, at) => ({ path: ['models', index, 'adapters', at], value: name })))
    ]),
    ...listRepeats([
      ...targets.map(({ name }, index) => ({ path: ['targets', index, 'name'], value: name })),
      ...services.flatMap((service, index) => service.targets.map(({ name }, at) => ({ path: ['services', index, 'targets', at, 'name'], value: name })))
    ]),
    ...listRepeats([
      ...targets.map(({ address }, index) => ({ path: ['targets', index, 'address'], value: address })),
      ...services.flatMap((service, index) => service.targets.map(({ address }, at) => ({
        path: ['services', index, 'targets', at, 'address'], value: address
      })))
    ]),
    ...listRepeats(services.map(({ name }, index) => ({ path: ['services', index, 'name'], value: name }))),
    ...services.flatMap((service, index) => listRepeats(service.operations.map(({ method, path }, at) => ({
      path: ['services', index, 'operations', at], value: `${method} ${path}`
    })))),
    ...listRepeats(workspaces.map(({ name }, index) => ({ path: ['workspaces', index, 'name'], value: name }))),
    ...listRepeats(workspaces.flatMap((workspace, index) => workspace.keyDigests.map((digest, at) => ({
      path: ['workspaces', index, 'keyDigests', at], value: digest
    })))),
    ...listRepeats(links.map(({ from, to }, index) => ({ path: ['links', index], value: `${from} to ${to}` })))
  ]
}

function listRepeats (items: Array<{ path: PlacedFault['path'], value: string }>): PlacedFault[] {
  const first = new Map<string, PlacedFault['path']>()
  return items.flatMap(({ path, value }) => {
    const before = first.get(value)
    if (before !== undefined) return [{ path, message: `found "${value}", which stands at ${before.join('.')} already; wanted: one that is not used twice` }]
    first.set(value, path)
    return []
  })
}
