/**
 * Checks a manifest as a whole and lists every fault, not only the first.
 */
import { parse, TomlError } from 'smol-toml'
import { manifestSchema, type Manifest } from './schema.js'

/** One fault of a manifest. */
export interface ManifestFault {
  /** Where: dotted path into the manifest. */
  at: string
  message: string
}

/** A checked manifest or its faults. */
export type ManifestCheck = { ok: true, manifest: Manifest } | { ok: false, faults: ManifestFault[] }

/** Parses and checks a manifest in TOML. */
export function checkManifestText (text: string): ManifestCheck {
  let document: unknown
  try {
    document = parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    return { ok: false, faults: [{ at: `line ${error.line}`, message: error.message.split('\n')[0] ?? 'malformed TOML' }] }
  }
  return checkManifest(document)
}

/** Checks a parsed manifest. */
export function checkManifest (document: unknown): ManifestCheck {
  const parsed = manifestSchema.safeParse(document)
  if (!parsed.success) {
    return { ok: false, faults: parsed.error.issues.map(issue => ({ at: issue.path.join('.'), message: issue.message })) }
  }
  const faults = listFaults(parsed.data)
  return faults.length > 0 ? { ok: false, faults } : { ok: true, manifest: parsed.data }
}

function listFaults (manifest: Manifest): ManifestFault[] {
  return [
    ...listDuplicates('models', manifest.models),
    ...listDuplicates('targets', manifest.targets),
    ...listDuplicates('services', manifest.services),
    ...listDuplicates('workspaces', manifest.workspaces)
  ]
}

function listDuplicates (list: string, items: Array<{ name: string }>): ManifestFault[] {
  const seen = new Set<string>()
  const faults: ManifestFault[] = []
  items.forEach((item, index) => {
    if (seen.has(item.name)) faults.push({ at: `${list}.${index}.name`, message: `"${item.name}" stands twice` })
    seen.add(item.name)
  })
  return faults
}
