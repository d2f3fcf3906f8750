/**
 * A network of peers in memory: several nodes in one process, with partitions, lost replies, duplicates and delays.
 */
import {
  FailureKind, Step, failed, success, type Failure, type Outcome, type PeerHandler, type PeerHandlers, type PeerMethod, type PeerPort,
  type PeerTraffic
} from '@wigeonlead/protocol'

/** Faults of one call between peers. */
export enum PeerFault {
  /** No connection: nothing happens. */
  Unreachable = 'unreachable',
  /** The call is lost, which its caller can't tell from a lost reply. */
  LostRequest = 'lost-request',
  /** The call takes effect and its answer is lost. */
  LostReply = 'lost-reply',
  /** The call arrives twice; the second answer is dropped. */
  Duplicate = 'duplicate'
}

/** One call, as a fault hook sees it. */
export interface PeerCall {
  from: string
  to: string
  method: PeerMethod
}

/** Options of the network. */
export interface MemoryPeerOptions {
  /** Chooses the fault of a call; undefined lets it pass. */
  fault?: (call: PeerCall) => PeerFault | undefined
  /** Delay of each call and of each answer, milliseconds; 0 by default. */
  delayMilliseconds?: (call: PeerCall) => number
}

/** Calls that a node made, and bytes of the bodies that it sent and received. */
export interface MemoryPeerTraffic extends PeerTraffic {
  calls: number
}

/** The network. */
export interface MemoryPeerNetwork {
  /** The port of a node; made anew for the same address, it stands for a process that took the address over. */
  port: (address: string) => PeerPort
  /** Takes a node off the network, as its death does. */
  remove: (address: string) => void
  /** Holds back what reaches a node, as a paused process does: its peers' calls time out. */
  pause: (address: string) => void
  resume: (address: string) => void
  /** Sets which pairs of nodes can't reach each other. */
  partition: (isCut: (from: string, to: string) => boolean) => void
  heal: () => void
  traffic: (address: string) => MemoryPeerTraffic
}

/** Makes a network without nodes. */
export function createMemoryPeerNetwork (options: MemoryPeerOptions = {}): MemoryPeerNetwork {
  const nodes = new Map<string, { handlers: PeerHandlers }>()
  const paused = new Set<string>()
  const traffic = new Map<string, MemoryPeerTraffic>()
  let isCut = (_from: string, _to: string): boolean => false

  function trafficOf (address: string): MemoryPeerTraffic {
    const known = traffic.get(address) ?? { calls: 0, sentBytes: 0, receivedBytes: 0 }
    traffic.set(address, known)
    return known
  }

  function carry (from: string, to: string, text: string): unknown {
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
    if (fault === PeerFault.LostRequest || paused.has(call.to)) return await never()
    const run = (): Promise<Outcome<unknown>> => answer(node.handlers, call, carry(call.from, call.to, JSON.stringify(parameters)))
    const outcome = await run()
    if (fault === PeerFault.Duplicate) await run()
    await pause(options.delayMilliseconds?.(call) ?? 0)
    if (fault === PeerFault.LostReply || nodes.get(call.to) !== node || isCut(call.to, call.from)) return await never()
    return outcome.ok ? success(carry(call.to, call.from, JSON.stringify(outcome.value ?? null))) : outcome
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
    partition: given => { isCut = given },
    heal: () => { isCut = () => false },
    traffic: trafficOf
  }
}

async function answer (handlers: PeerHandlers, call: PeerCall, parameters: unknown): Promise<Outcome<unknown>> {
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

function never (): Promise<Outcome<unknown>> {
  return new Promise(() => {})
}
