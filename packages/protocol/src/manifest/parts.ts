/**
 * Splits a manifest into content-addressed parts and joins them again. Items are grouped by the digest of their names, and a
 * group that grows too large is halved by the next bit of that digest, so that a change of one item rewrites one part.
 */
import { createHash } from 'node:crypto'
import { manifestSchema, type Manifest } from './schema.js'

/** A part of a manifest and the digest that names it. */
export interface ManifestPartContent {
  /** SHA-256 of the content, lower-case hexadecimal. */
  digest: string
  content: string
}

/** Most bytes of one part; only a single item larger than that makes a larger one. */
export const MAXIMUM_PART_BYTES = 65_536

const LIST_SECTIONS = ['models', 'targets', 'services', 'workspaces', 'links'] as const
type ListSection = typeof LIST_SECTIONS[number]

interface Item {
  section: ListSection
  name: string
  /** Bits that choose the item's group. */
  bits: string
  value: unknown
}

/** A part's content: some items of each section. */
type Sections = Partial<Record<string, unknown>>

/** @returns the SHA-256 digest of a text, lower-case hexadecimal. */
export function digestText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Splits a manifest into parts that stay under the size limit of one value. The first part holds what is no list of named items. */
export function splitManifest (manifest: Manifest): ManifestPartContent[] {
  const base = Object.fromEntries(Object.entries(manifest).filter(([section]) => !isListSection(section)))
  const items = LIST_SECTIONS.flatMap(section => manifest[section].map(value => toItem(section, value)))
  return [JSON.stringify(base), ...splitItems(items, 0)].map(content => ({ digest: digestText(content), content }))
}

/**
 * Joins the parts of a manifest; the items of each section come in the order of their names.
 * @param contents the parts' contents in the order of the head.
 * @throws when the parts are no manifest.
 */
export function joinManifest (contents: string[]): Manifest {
  const whole: Record<string, unknown> = {}
  const items: Item[] = []
  for (const content of contents) {
    for (const [section, value] of Object.entries(JSON.parse(content) as Sections)) {
      if (isListSection(section)) items.push(...(value as unknown[]).map(item => toItem(section, item)))
      else whole[section] = value
    }
  }
  return manifestSchema.parse({ ...whole, ...toSections(items) })
}

function splitItems (items: Item[], depth: number): string[] {
  if (items.length === 0) return []
  const content = JSON.stringify(toSections(items))
  if (items.length === 1 || Buffer.byteLength(content) <= MAXIMUM_PART_BYTES) return [content]
  const isRight = (item: Item): boolean => item.bits[depth] === '1'
  return [...splitItems(items.filter(item => !isRight(item)), depth + 1), ...splitItems(items.filter(isRight), depth + 1)]
}

function toSections (items: Item[]): Sections {
  const sections: Record<string, unknown[]> = {}
  for (const item of [...items].sort(compareNames)) (sections[item.section] ??= []).push(item.value)
  return sections
}

function toItem (section: ListSection, value: unknown): Item {
  const { name, from, to } = value as { name?: string, from?: string, to?: string }
  const key = name ?? `${from}>${to}`
  const digest = createHash('sha256').update(`${section} ${key}`).digest()
  const bits = [...digest].map(byte => byte.toString(2).padStart(8, '0')).join('')
  return { section, name: key, bits, value }
}

function compareNames (left: Item, right: Item): number {
  if (left.section !== right.section) return left.section < right.section ? -1 : 1
  if (left.name === right.name) return 0
  return left.name < right.name ? -1 : 1
}

function isListSection (section: string): section is ListSection {
  return (LIST_SECTIONS as readonly string[]).includes(section)
}
