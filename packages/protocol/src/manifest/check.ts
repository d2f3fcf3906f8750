/**
 * Checks a whole manifest and lists every fault, not only the first. Malformed items are left out of the checks that
 * compare items, so that one mistake neither hides other faults nor causes false ones.
 */
import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'
import { listClaimFaults } from './check-claims.js'
import { listCoverageFaults } from './check-coverage.js'
import { listReferenceFaults } from './check-references.js'
import { listUniquenessFaults } from './check-uniqueness.js'
import type { MalformedItems, PlacedFault } from './placed-fault.js'
import { manifestSchema, type Manifest } from './schema.js'

/** One fault of a manifest. */
export interface ManifestFault {
  /** Location: dotted path into the manifest, or `line N` if the text is not valid TOML. */
  at: string
  /** The value that was found and the value that is expected. */
  message: string
}

/** The result of a check: the valid manifest, or its faults. */
export type ManifestCheck = { ok: true, manifest: Manifest } | { ok: false, faults: ManifestFault[] }

/** Parses a manifest in TOML and checks it. */
export function checkManifestText (text: string): ManifestCheck {
  let document: unknown
  try {
    document = parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const message = `malformed TOML at column ${error.column}: ${error.message.split('\n')[0]}`
    return { ok: false, faults: [{ at: `line ${error.line}`, message }] }
  }
  return checkManifest(document)
}

/** Checks a parsed manifest. */
export function checkManifest (document: unknown): ManifestCheck {
  const parsed = manifestSchema.safeParse(document)
  if (!parsed.success) return { ok: false, faults: [...listShapeFaults(document, parsed.error), ...listItemFaults(document, parsed.error)] }
  const faults = listFaults(parsed.data, NO_MALFORMED_ITEMS).map(({ path, message }) => ({ at: path.join('.'), message }))
  return faults.length > 0 ? { ok: false, faults } : { ok: true, manifest: parsed.data }
}

const NO_MALFORMED_ITEMS: MalformedItems = { models: new Set(), services: new Set(), hasTargets: false }
/** Shape of a manifest without its malformed items. The list of workspaces may be empty, since all of them may be malformed. */
const WELL_FORMED_ITEMS_SCHEMA = manifestSchema.extend({ workspaces: manifestSchema.shape.workspaces.or(z.array(z.never())) })
const LIST_SECTIONS = ['models', 'targets', 'services', 'workspaces', 'links'] as const

function listFaults (manifest: Manifest, malformed: MalformedItems): PlacedFault[] {
  return [
    ...listUniquenessFaults(manifest),
    ...listReferenceFaults(manifest, malformed),
    ...(malformed.hasTargets ? [] : listCoverageFaults(manifest)),
    ...listClaimFaults(manifest)
  ]
}

function listShapeFaults (document: unknown, error: z.ZodError): ManifestFault[] {
  return error.issues.map(issue => ({
    at: issue.path.join('.') || 'top level',
    message: `found ${describeValue(valueAt(document, issue.path))}, wanted: ${issue.message}`
  }))
}

/** Lists the faults of the manifest without its malformed items and unknown top-level keys. */
function listItemFaults (document: unknown, error: z.ZodError): ManifestFault[] {
  if (typeof document !== 'object' || document === null) return []
  const remaining = { ...document as Record<string, unknown> }
  const malformedItems: Record<string, unknown[]> = {}
  const indices: Record<string, number[]> = {}
  for (const list of LIST_SECTIONS) {
    const items = remaining[list]
    if (!Array.isArray(items)) continue
    const malformedIndices = new Set(error.issues.filter(issue => issue.path[0] === list).map(issue => issue.path[1]))
    indices[list] = [...items.keys()].filter(index => !malformedIndices.has(index))
    malformedItems[list] = items.filter((_, index) => malformedIndices.has(index))
    remaining[list] = indices[list].map(index => items[index])
  }
  for (const issue of error.issues) {
    if (issue.code === 'unrecognized_keys' && issue.path.length === 0) issue.keys.forEach(key => { delete remaining[key] })
  }
  const parsed = WELL_FORMED_ITEMS_SCHEMA.safeParse(remaining)
  if (!parsed.success) return []
  const malformed = {
    models: namesOf(malformedItems.models),
    services: namesOf(malformedItems.services),
    hasTargets: (malformedItems.targets ?? []).length > 0
  }
  return listFaults(parsed.data, malformed).map(({ path, message }) => ({ at: originalPath(path, indices).join('.'), message }))
}

/** Converts a path in the manifest without malformed items to the path in the original document. */
function originalPath (path: PlacedFault['path'], indices: Record<string, number[]>): PlacedFault['path'] {
  const [list, index, ...rest] = path
  if (typeof list !== 'string' || typeof index !== 'number') return path
  return [list, indices[list]?.[index] ?? index, ...rest]
}

function namesOf (items: unknown[] | undefined): Set<string> {
  return new Set((items ?? []).map(item => String((item as { name?: unknown } | null)?.name)))
}

function valueAt (document: unknown, path: PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], document)
}

function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return `a list of ${value.length}`
  if (typeof value === 'object' && value !== null) return `a table with ${Object.keys(value).join(', ') || 'no keys'}`
  return JSON.stringify(value)
}
