/**
 * Headers as the ports carry them.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { HeaderRecord } from '@wigeonlead/protocol'

/** @returns one text for each header; what came several times is joined with commas. */
export function flattenHeaders (headers: IncomingHttpHeaders): HeaderRecord {
  const flat: HeaderRecord = {}
  for (const [key, value] of Object.entries(headers)) {
    if (value !== undefined) flat[key] = Array.isArray(value) ? value.join(', ') : value
  }
  return flat
}
