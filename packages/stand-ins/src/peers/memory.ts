/**
 * An in-memory network of peers: several nodes in one process, with partitions, lost calls and replies, duplicates and delays.
 */
import {
  FailureKind, Step, failed, success, type Failure, type Outcome, type PeerHandler, type PeerHandlers, type PeerMethod, type PeerPort,
  type PeerTraffic
} from '@wigeonlead/protocol'

/** Faults to inject into one call between peers. */
export enum PeerFault {
  /** The connection fails, and the call has no effect. */
  Unreachable = 'unreachable',
  /** The call is lost and has no effect; the caller can't distinguish this from a lost reply. */
  LostRequest = 'lost-request',
  /** The call takes effect and its reply is lost. */
  LostReply = 'lost-reply',
  /** The call is delivered twice; the second reply is dropped. */
  Duplicate = 'duplicate'
}

/** One call, as passed to the hooks for faults and delays. */
export interface PeerCall {
  from: string
  to: string
  method: PeerMethod
}

/** Options of the network. */
export interface MemoryPeerOptions {
  /** Returns the fault of a call, or undefined for none. */
  fault?: (call: PeerCall) => PeerFault | undefined
  /** Returns the one-way delay of a call and of its reply, milliseconds; 0 by default. */
  delayMilliseconds?: (call: PeerCall) => number
}

/** Number of calls that a node made, and bytes of the bodies that it sent and received. */
export interface MemoryPeerTraffic extends PeerTraffic {
  calls: number
}

/** Network of nodes in memory. */
export interface MemoryPeerNetwork {
  /** Creates the port of a node. A second port for the same address replaces the first, as a new process at that address does. */
  port: (address: string) => PeerPort
  /** Removes a node from the network, as if its process had died. */
  remove: (address: string) => void
  /** Pauses a node, as if its process were suspended: calls to it time out and have no effect. */
  pause: (address: string) => void
  resume: (address: string) => void
  /** Replaces the partition: calls and replies are cut from one node to another if `isCut` returns true. */
  partition: (isCut: (from: string, to: string) => boolean) => void
  /** Removes the partition. */
  heal: () => void
  traffic: (address: string) => MemoryPeerTraffic
}

/** Creates a network without nodes. */
export function createMemoryPeerNetwork (options: MemoryPeerOptions = {}): MemoryPeerNetwork {
  const nodes = new Map<string, { handlers: PeerHandlers }>()
  const paused = new Set<string>()
  const traffic = new Map<string, MemoryPeerTraffic>()
  let isCut = (_from: string, _to: string): boolean => false

  function trafficOf (address: string): MemoryPeerTraffic {
    const counts = traffic.get(address) ?? { calls: 0, sentBytes: 0, receivedBytes: 0 }
    traffic.set(address, counts)
    return counts
  }

  function transmit (from: string, to: string, text: string): unknown {
    trafficOf(from).sentBytes += Buffer.byteLength(text)
    trafficOf(to).receivedBytes += Buffer.byteLength(text)
    return JSON.parse(text)
  }

  async function deliver (call: PeerCall, parameters: unknown): Promise<Outcome<unknown>> {
    const node = nodes.get(call.to)
    const fault = options.fault?.(call)
    const isUnreachable = node === undefined || isCut(call.from, call.to) || fault === PeerFault.Unreachable
    if (isUnreachable) return failed(toFailure(call, FailureKind.Unreachable))
    await pause(options.delayMilliseconds?.(call) ?? 0)
    if (fault === PeerFault.LostRequest || paused.has(call.to)) return await neverSettle()
    const run = (): Promise<Outcome<unknown>> => handleCall(node.handlers, call, transmit(call.from, call.to, JSON.stringify(parameters)))
    const outcome = await run()
    if (fault === PeerFault.Duplicate) await run()
    await pause(options.delayMilliseconds?.(call) ?? 0)
    if (fault === PeerFault.LostReply || nodes.get(call.to) !== node || isCut(call.to, call.from)) return await neverSettle()
    return outcome.ok ? success(transmit(call.to, call.from, JSON.stringify(outcome.value ?? null))) : outcome
  }

  return {
    port (address) {
      const node: { handlers: PeerHandlers } = { handlers: {} }
      nodes.set(address, node)
      return {
        serve: handlers => { node.handlers = handlers },
        traffic: () => ({ ...trafficOf(address) }),
        async call (to, method, parameters, deadlineMilliseconds) {
          if (nodes.get(address) !== node) return failed(toFailure({ from: address, to, method }, FailureKind.Unreachable))
          trafficOf(address).calls += 1
          const call = { from: address, to, method }
          return await withDeadline(deliver(call, parameters), call, deadlineMilliseconds) as Outcome<never>
        }
      }
    },
    remove: address => { nodes.delete(address) },
    pause: address => { paused.add(address) },
    resume: address => { paused.delete(address) },
    partition: isCutBetween => { isCut = isCutBetween },
    heal: () => { isCut = () => false },
    traffic: trafficOf
  }
}

async function handleCall (handlers: PeerHandlers, call: PeerCall, parameters: unknown): Promise<Outcome<unknown>> {
  const handler = handlers[call.method] as PeerHandler<PeerMethod> | undefined
  if (handler === undefined) return failed(toFailure(call, FailureKind.Refused))
  try {
    return success(await handler(parameters as never, call.from))
  } catch (error) {
    return failed({ ...toFailure(call, FailureKind.Broken), detail: String(error) })
  }
}

function withDeadline (work: Promise<Outcome<unknown>>, call: PeerCall, deadlineMilliseconds: number): Promise<Outcome<unknown>> {
  return new Promise(resolve => {
    const timer = setTimeout(() => {
      const origin = { step: Step.Peer, peer: call.to, detail: call.method }
      resolve(failed({ ...origin, kind: FailureKind.TimedOut, afterMilliseconds: deadlineMilliseconds }))
    }, deadlineMilliseconds)
    void work.then(outcome => {
      clearTimeout(timer)
      resolve(outcome)
    })
  })
}

function toFailure (call: PeerCall, kind: FailureKind.Unreachable | FailureKind.Refused | FailureKind.Broken): Failure {
  return { kind, step: Step.Peer, peer: call.to, detail: call.method }
}

async function pause (milliseconds: number): Promise<void> {
  if (milliseconds > 0) await new Promise(resolve => setTimeout(resolve, milliseconds))
}

function neverSettle (): Promise<Outcome<unknown>> {
  return new Promise(() => {})
}
