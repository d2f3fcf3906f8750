/**
 * Links of processes whose datagrams reach each other a millisecond later.
 */
import type { PeerLink } from '@wigeonlead/relay'

const WAY_MILLISECONDS = 1

/**
 * @param names names of the processes, which are their addresses too.
 * @param isLost whether a datagram is lost.
 */
export function joinLinks (names: readonly string[], isLost: (from: string, to: string) => boolean = () => false): Map<string, PeerLink> {
  const handlers = new Map(names.map(name => [name, new Map<string, (parameters: unknown) => void>()]))
  return new Map(names.map(name => [name, {
    notify (address, method, parameters) {
      if (isLost(name, address)) return
      const text = JSON.stringify(parameters)
      setTimeout(() => { handlers.get(address)?.get(method)?.(JSON.parse(text)) }, WAY_MILLISECONDS)
    },
    on: (method, handler) => { handlers.get(name)!.set(method, handler) },
    async open () {},
    close () {}
  }]))
}
