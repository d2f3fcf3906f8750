/**
 * Converts the headers of Node.js to those of the ports.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderRecord } from '@wigeonlead/protocol'

/** @returns one string for each header; the values of a repeated header are joined with commas. */
export function flattenHeaders (headers: IncomingHttpHeaders): HeaderRecord {
  const flat: HeaderRecord = {}
  for (const [key, value] of Object.entries(headers)) {
    if (value !== undefined) flat[key] = Array.isArray(value) ? value.join(', ') : value
  }
  return flat
}
