/**
 * In-memory peer links that deliver each notification after one millisecond, and none that is too long for a datagram and may not be split.
 */
import type { PeerLink } from '@wigeonlead/relay'

const TRANSIT_MILLISECONDS = 1
const DATAGRAM_BYTES_LIMIT = 60_000

/**
 * Creates links that connect the given processes to each other.
 * @param names names of the processes, which are also their addresses.
 * @param isLost decides whether a datagram from one process to another is dropped.
 * @param onNotify called with each datagram that is sent.
 * @returns the link of each process by its name.
 */
export function joinLinks (
  names: readonly string[], isLost: (from: string, to: string) => boolean = () => false,
  onNotify: (method: string, parameters: unknown) => void = () => {}
): Map<string, PeerLink> {
  const handlers = new Map(names.map(name => [name, new Map<string, (parameters: unknown) => void>()]))
  return new Map(names.map(name => [name, {
    notify (address, method, parameters, { mayBeSplit } = { mayBeSplit: false }) {
      const text = JSON.stringify(parameters)
      if (!mayBeSplit && Buffer.byteLength(text) > DATAGRAM_BYTES_LIMIT) return
      onNotify(method, JSON.parse(text))
      if (isLost(name, address)) return
      setTimeout(() => { handlers.get(address)?.get(method)?.(JSON.parse(text)) }, TRANSIT_MILLISECONDS)
    },
    on: (method, handler) => { handlers.get(name)!.set(method, handler) },
    async open () {},
    close () {}
  }]))
}
