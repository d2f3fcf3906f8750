/**
 * Encoding of the bodies that entry VMs exchange: long bodies are deflated. The signature covers the transmitted bytes, so that nothing
 * is inflated before its sender is authenticated.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { deflateSync, inflateSync } from 'node:zlib'

/** A body as it is transmitted. */
export interface WireBody {
  bytes: Buffer
  isDeflated: boolean
}

/** Value of the header `content-encoding` of a deflated body. */
const DEFLATE_ENCODING = 'deflate'

/** Shorter bodies gain nothing from deflating. */
const MINIMUM_DEFLATED_BYTES = 512
const DEFLATE_LEVEL = 1

/** @returns a received body with its encoding. */
export function receivedBody (bytes: Buffer, headers: IncomingHttpHeaders): WireBody {
  return { bytes, isDeflated: headers['content-encoding'] === DEFLATE_ENCODING }
}

/** Encodes a body for transmission. */
export function encodeBody (text: string): WireBody {
  const bytes = Buffer.from(text)
  if (bytes.length < MINIMUM_DEFLATED_BYTES) return { bytes, isDeflated: false }
  return { bytes: deflateSync(bytes, { level: DEFLATE_LEVEL }), isDeflated: true }
}

/**
 * Decodes a received body.
 * @param maximumBytes limit of the inflated body.
 * @throws when the body is marked as deflated but is not valid deflate data, or when it inflates over the limit.
 */
export function decodeBody ({ bytes, isDeflated }: WireBody, maximumBytes: number): string {
  return isDeflated ? inflateSync(bytes, { maxOutputLength: maximumBytes }).toString() : bytes.toString()
}

/** @returns the headers of a transmitted body: its type, length and encoding. */
export function bodyHeaders ({ bytes, isDeflated }: WireBody): Record<string, string | number> {
  const headers = { 'content-type': 'application/json', 'content-length': bytes.length }
  return isDeflated ? { ...headers, 'content-encoding': DEFLATE_ENCODING } : headers
}
