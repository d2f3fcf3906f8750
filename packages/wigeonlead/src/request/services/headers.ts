/**
 * Selects the headers that are forwarded between callers and services.
 */
import type { HeaderRecord } from '@wigeonlead/protocol'

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'host', 'content-length', 'authorization'
])

/** @returns the headers without those that concern one connection or the router itself, such as the caller's credentials. */
export function forwardedHeaders (headers: HeaderRecord): HeaderRecord {
  return Object.fromEntries(Object.entries(headers).filter(([key]) => !HOP_BY_HOP_HEADERS.has(key)))
}
