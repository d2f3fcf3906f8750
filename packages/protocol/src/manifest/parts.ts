/**
 * Splits a manifest into content-addressed parts and joins them again. Items are grouped by the digest of their names, and a
 * group that is too large is divided by the next bit of that digest, so that changing one item rewrites only one part.
 */
import { createHash } from 'node:crypto'
import { manifestSchema, type Manifest } from './schema.js'

/** A part of a manifest and the digest that identifies it. */
export interface ManifestPartContent {
  /** SHA-256 of the content, lower-case hexadecimal. */
  digest: string
  content: string
}

/** Maximum size of one part, bytes. A part exceeds it only if it holds a single item that is larger. */
export const MAXIMUM_PART_BYTES = 65_536

const LIST_SECTIONS = ['models', 'targets', 'services', 'workspaces', 'links'] as const
type ListSection = typeof LIST_SECTIONS[number]

interface ListItem {
  section: ListSection
  name: string
  /** Digest of the section and name as a string of bits, which determine the item's group. */
  digestBits: string
  value: unknown
}

/** The content of one part, by section of the manifest; a list section has only some of its items. */
type Sections = Partial<Record<string, unknown>>

/** Returns the SHA-256 digest of a text, lower-case hexadecimal. */
export function digestText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Splits a manifest into parts of at most `MAXIMUM_PART_BYTES`, unless a single item is larger. The first part holds the
 * sections that are not lists of items.
 */
export function splitManifest (manifest: Manifest): ManifestPartContent[] {
  const base = Object.fromEntries(Object.entries(manifest).filter(([section]) => !isListSection(section)))
  const items = LIST_SECTIONS.flatMap(section => manifest[section].map(value => toItem(section, value)))
  return [JSON.stringify(base), ...splitItems(items, 0)].map(content => ({ digest: digestText(content), content }))
}

/**
 * Joins the parts of a manifest; the items of each section are sorted by name.
 * @param contents contents of the parts, in the order in which the head lists them.
 * @throws if the parts do not form a valid manifest.
 */
export function joinManifest (contents: string[]): Manifest {
  const manifest: Record<string, unknown> = {}
  const items: ListItem[] = []
  for (const content of contents) {
    for (const [section, value] of Object.entries(JSON.parse(content) as Sections)) {
      if (isListSection(section)) items.push(...(value as unknown[]).map(item => toItem(section, item)))
      else manifest[section] = value
    }
  }
  return manifestSchema.parse({ ...manifest, ...toSections(items) })
}

function splitItems (items: ListItem[], depth: number): string[] {
  if (items.length === 0) return []
  const content = JSON.stringify(toSections(items))
  if (items.length === 1 || Buffer.byteLength(content) <= MAXIMUM_PART_BYTES) return [content]
  const hasBitSet = (item: ListItem): boolean => item.digestBits[depth] === '1'
  return [...splitItems(items.filter(item => !hasBitSet(item)), depth + 1), ...splitItems(items.filter(hasBitSet), depth + 1)]
}

function toSections (items: ListItem[]): Sections {
  const sections: Record<string, unknown[]> = {}
  for (const item of [...items].sort(compareNames)) (sections[item.section] ??= []).push(item.value)
  return sections
}

function toItem (section: ListSection, value: unknown): ListItem {
  const { name, from, to } = value as { name?: string, from?: string, to?: string }
  const key = name ?? `${from}>${to}`
  const digest = createHash('sha256').update(`${section} ${key}`).digest()
  const bits = [...digest].map(byte => byte.toString(2).padStart(8, '0')).join('')
  return { section, name: key, digestBits: bits, value }
}

function compareNames (left: ListItem, right: ListItem): number {
  if (left.section !== right.section) return left.section < right.section ? -1 : 1
  if (left.name === right.name) return 0
  return left.name < right.name ? -1 : 1
}

function isListSection (section: string): section is ListSection {
  return (LIST_SECTIONS as readonly string[]).includes(section)
}
