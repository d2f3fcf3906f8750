/**
 * Membership between entry VMs: who is alive, suspect, leaving or gone, learnt by gossip.
 */
import { MemberState, PeerMethod, type MemberEntry, type PeerHandlers, type PeerPort } from '@wigeonlead/protocol'

/** The membership as one node sees it. */
export interface Membership {
  self: () => MemberEntry
  /** All known entry VMs, this one included. */
  members: () => MemberEntry[]
  start: () => void
  /** Tells others that this node takes no more work. */
  leave: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** What the membership needs. */
export interface MembershipParts {
  peers: PeerPort
  /** Address of this node's peers' listener. */
  address: string
  vm: string
  failureDomain: string
  seeds: string[]
  generation: () => number
}

const GOSSIP_INTERVAL_MILLISECONDS = 1000
const CALL_DEADLINE_MILLISECONDS = 500

/** Makes a membership that knows only this node. */
export function createMembership (parts: MembershipParts): Membership {
  const incarnation = Date.now()
  const members = new Map<string, MemberEntry>()
  let state = MemberState.Alive
  let timer: NodeJS.Timeout | undefined

  function self (): MemberEntry {
    const { address, vm, failureDomain } = parts
    return { address, vm, failureDomain, incarnation, state, generation: parts.generation() }
  }

  function merge (entries: MemberEntry[]): void {
    for (const entry of entries) {
      const known = members.get(entry.address)
      if (entry.address === parts.address) continue
      if (known === undefined || known.incarnation <= entry.incarnation) members.set(entry.address, entry)
    }
  }

  async function exchange (): Promise<void> {
    const message = { sender: self(), members: [self(), ...members.values()], targetEvents: [], demand: {} }
    const addresses = new Set([...parts.seeds, ...members.keys()])
    addresses.delete(parts.address)
    for (const address of addresses) {
      const outcome = await parts.peers.call(address, PeerMethod.Gossip, message, CALL_DEADLINE_MILLISECONDS)
      if (outcome.ok) merge(outcome.value.members)
    }
  }

  return {
    self,
    members: () => [self(), ...members.values()],
    start () {
      timer = setInterval(() => { void exchange() }, GOSSIP_INTERVAL_MILLISECONDS)
    },
    leave () {
      state = MemberState.Leaving
    },
    stop: () => clearInterval(timer),
    handlers: {
      [PeerMethod.Gossip]: async message => {
        merge(message.members)
        return { sender: self(), members: [self(), ...members.values()], targetEvents: [], demand: {} }
      }
    }
  }
}
