/**
 * Loopback addresses on which a test can listen at the same port again: outgoing connections take their ports at 127.0.0.1, and other
 * processes use other addresses.
 */
const PARTS_PER_BYTE = 250

/** What listens at an address. */
export enum LoopbackUse {
  Targets = 1,
  Peers = 2,
  Gates = 3
}

/** @returns the address of this process for one use. */
export function loopbackHost (use: LoopbackUse): string {
  return `127.${1 + Math.floor(process.pid / PARTS_PER_BYTE) % PARTS_PER_BYTE}.${1 + process.pid % PARTS_PER_BYTE}.${use}`
}
