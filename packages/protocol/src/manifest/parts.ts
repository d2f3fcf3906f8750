/**
 * Splits a manifest into content-addressed parts and joins them again.
 */
import { createHash } from 'node:crypto'
import { manifestSchema, type Manifest } from './schema.js'

/** A part of a manifest and the digest that names it. */
export interface ManifestPartContent {
  /** SHA-256 of the content, lower-case hexadecimal. */
  digest: string
  content: string
}

/** Most characters of one part. */
const MAXIMUM_PART_CHARACTERS = 262_144

/** @returns the SHA-256 digest of a text, lower-case hexadecimal. */
export function digestText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Splits a manifest into parts that stay under the size limit of one value. */
export function splitManifest (manifest: Manifest): ManifestPartContent[] {
  const text = JSON.stringify(manifest)
  const parts: ManifestPartContent[] = []
  for (let start = 0; start < text.length; start += MAXIMUM_PART_CHARACTERS) {
    const content = text.slice(start, start + MAXIMUM_PART_CHARACTERS)
    parts.push({ digest: digestText(content), content })
  }
  return parts
}

/**
 * Joins the parts of a manifest.
 * @param contents the parts' contents in the order of the head.
 * @throws when the parts are no manifest.
 */
export function joinManifest (contents: string[]): Manifest {
  return manifestSchema.parse(JSON.parse(contents.join('')))
}
