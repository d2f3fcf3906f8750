/**
 * Compresses long texts that are sent to several peers: the lists of a configuration repeat the same field names in each entry.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Texts below this length are not worth the time, characters. */
export const COMPRESSED_FROM_CHARACTERS = 4096
/** Size limit of an expanded text, bytes: several times the largest value that the platform's store accepts. */
const EXPANDED_BYTES_LIMIT = 8_388_608

/** @returns the compressed text, as base64. */
export function compressText (text: string): string {
  return deflateRawSync(text, { level: 1 }).toString('base64')
}

/** @throws an error where the data was not compressed by `compressText`, or is too long. */
export function expandText (compressed: string): string {
  return inflateRawSync(Buffer.from(compressed, 'base64'), { maxOutputLength: EXPANDED_BYTES_LIMIT }).toString()
}
