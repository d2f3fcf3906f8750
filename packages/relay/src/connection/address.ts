/**
 * Checks and parses addresses of the form `IP:PORT`.
 */
import { isIPv4 } from 'node:net'

const MAXIMUM_PORT = 65_535

/** Whether a text is an IPv4 number and a port that can be connected to. */
export function isAddress (text: string): boolean {
  const [host, port] = splitAddress(text)
  return isIPv4(host) && /^[1-9]\d{0,4}$/.test(text.slice(host.length + 1)) && port <= MAXIMUM_PORT
}

/** @returns host and port of an address `host:port`. */
export function splitAddress (address: string): [host: string, port: number] {
  const colonIndex = address.lastIndexOf(':')
  return [address.slice(0, colonIndex), Number(address.slice(colonIndex + 1))]
}
