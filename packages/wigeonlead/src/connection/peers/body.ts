/**
 * Bodies between entry VMs as they go over the wire: long ones are deflated. What is signed is the wire's bytes, so that nothing
 * is inflated before its sender is known.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { deflateSync, inflateSync } from 'node:zlib'

/** A body as it goes over the wire. */
export interface WireBody {
  bytes: Buffer
  isDeflated: boolean
}

/** Value of the header `content-encoding` of a deflated body. */
const DEFLATE_ENCODING = 'deflate'

/** Shorter bodies gain nothing. */
const DEFLATED_FROM_BYTES = 512
const DEFLATE_LEVEL = 1

/** @returns the wire's form of a body that was read. */
export function wireBody (bytes: Buffer, headers: IncomingHttpHeaders): WireBody {
  return { bytes, isDeflated: headers['content-encoding'] === DEFLATE_ENCODING }
}

/** Makes the wire's form of a body. */
export function packBody (text: string): WireBody {
  const bytes = Buffer.from(text)
  if (bytes.length < DEFLATED_FROM_BYTES) return { bytes, isDeflated: false }
  return { bytes: deflateSync(bytes, { level: DEFLATE_LEVEL }), isDeflated: true }
}

/**
 * Reads the wire's form of a body.
 * @param maximumBytes bound of the inflated body.
 * @throws when it is not deflated as it says, or larger than the bound.
 */
export function unpackBody ({ bytes, isDeflated }: WireBody, maximumBytes: number): string {
  return isDeflated ? inflateSync(bytes, { maxOutputLength: maximumBytes }).toString() : bytes.toString()
}

/** @returns the headers that describe a body. */
export function bodyHeaders ({ bytes, isDeflated }: WireBody): Record<string, string | number> {
  const headers = { 'content-type': 'application/json', 'content-length': bytes.length }
  return isDeflated ? { ...headers, 'content-encoding': DEFLATE_ENCODING } : headers
}
