/**
 * The headers that are passed on between callers and services.
 */
import type { HeaderRecord } from '@wigeonlead/protocol'

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'host', 'content-length', 'authorization'
])

/** @returns the headers without those that belong to one connection or to the router. */
export function forwardedHeaders (headers: HeaderRecord): HeaderRecord {
  return Object.fromEntries(Object.entries(headers).filter(([key]) => !HOP_BY_HOP_HEADERS.has(key)))
}
