/** @returns host and port of an `IP:PORT`, as `connect` takes them. */
export function splitAddress (address) {
  const [host, port] = address.split(':')
  return { host, port: Number(port) }
}
