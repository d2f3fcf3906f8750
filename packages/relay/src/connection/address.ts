/**
 * Parses addresses of the form `IP:PORT`.
 */

/** @returns host and port of an address `host:port`. */
export function splitAddress (address: string): [host: string, port: number] {
  const colonIndex = address.lastIndexOf(':')
  return [address.slice(0, colonIndex), Number(address.slice(colonIndex + 1))]
}
