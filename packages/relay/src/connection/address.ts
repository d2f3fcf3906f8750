/**
 * Addresses of the deployment: an IP number and a port.
 */

/** @returns host and port of `host:port`. */
export function splitAddress (address: string): [host: string, port: number] {
  const colonAt = address.lastIndexOf(':')
  return [address.slice(0, colonAt), Number(address.slice(colonAt + 1))]
}
