/**
 * Messages between the slopes experiment, which measures how the cost of a node grows with the size of the fleet, and its child
 * processes. Each message has an id, and its reply repeats the id.
 */
import type { ChildProcess } from 'node:child_process'
import type { VmEntry } from '@wigeonlead/protocol'

/** A node of the measured fleet. */
export interface FleetNode {
  vm: string
  failureDomain: string
}

/** Addresses at which the stand-ins for the platform and for the engines listen. */
export interface PlatformAddresses {
  /** `host:port`. */
  keyValue: string
  vmList: string
  engines: string[]
}

/** What one child process measured over a period. Counts and bytes are sums over all of its nodes. */
export interface ProcessSample {
  nodeCount: number
  /** Length of the period. */
  seconds: number
  /** Processor time of the whole process, user and system. */
  processorSeconds: number
  /** Bytes sent and received over TCP, by what the other end of the connection is. */
  bytes: Record<TrafficKind, number>
  /** Calls to the key-value service that read a key, list a prefix or start a watch. */
  keyValueReads: number
  /** Calls to the key-value service that write a key, or grant, renew or revoke a lease. */
  keyValueWrites: number
  /** Calls that these nodes made to engines to read their load reports. */
  engineReportCalls: number
  /** Calls that these nodes made to peers. */
  peerCalls: number
  /** Bytes of request and response bodies in the gossip calls that these nodes made, estimated from a sample of the calls. */
  gossipBytes: number
  /**
   * Bytes of request and response bodies in the calls by which these nodes exchanged load reports with peers, estimated from a sample of
   * the calls.
   */
  reportExchangeBytes: number
  /** Heap in use and external memory, after a garbage collection. */
  heapAndExternalBytes: number
  residentBytes: number
}

/** What the other end of a connection is. */
export enum TrafficKind {
  Peers = 'peers',
  KeyValue = 'key-value',
  VmList = 'vm-list',
  Engines = 'engines'
}

/** Methods that the experiment calls in its child processes, with their parameters and results. */
export interface ChildMethods {
  /** Starts the stand-ins for the platform and the given number of engines; each engine serves one of the given number of models. */
  platform: { parameters: { engines: number, models: number }, result: PlatformAddresses }
  /** Sets the entries of the VM list. */
  vms: { parameters: { vms: VmEntry[] }, result: null }
  /** Opens the peer listeners of the given nodes. @returns the addresses of all peer listeners of the process. */
  open: { parameters: { nodes: FleetNode[] }, result: string[] }
  /** Creates and starts the router of every node of the process. */
  start: { parameters: { platform: PlatformAddresses, seeds: string[] }, result: null }
  /**
   * Waits until every node of the process has had the given generation, or a later one, in force.
   * @returns when this was observed for the last node, milliseconds since 1970; null after the timeout.
   */
  reached: { parameters: { generation: number, timeoutMilliseconds: number }, result: number | null }
  /** Measures the process over the given time. */
  measure: { parameters: { milliseconds: number }, result: ProcessSample }
  /** Halts the nodes that were opened first, without informing their peers, as if they had died. @returns their addresses. */
  halt: { parameters: { count: number }, result: string[] }
  /**
   * Makes calls of all nodes of the process to the given peers fail and, if `isKeyValueCut` is set, also those to the key-value service.
   * Replaces the previous partition; an empty list without `isKeyValueCut` heals it.
   */
  cut: { parameters: { addresses: string[], isKeyValueCut: boolean }, result: null }
  /**
   * Waits until every node of the process has stopped listing the addresses as alive.
   * @returns when this was observed for the last node, milliseconds since 1970; null after the timeout.
   */
  noticed: { parameters: { addresses: string[], timeoutMilliseconds: number }, result: number | null }
}

/** The methods that a child process implements. */
export type ChildHandlers = { [M in keyof ChildMethods]?: (parameters: ChildMethods[M]['parameters']) => Promise<ChildMethods[M]['result']> }

/**
 * Answers each message of the parent process: calls the handler of the message's method and sends its result or error back. Exits when the
 * parent disconnects.
 */
export function serveParent (handlers: ChildHandlers): void {
  process.on('message', (message: { id: number, method: keyof ChildMethods, parameters: never }) => {
    const handler = handlers[message.method] as ((parameters: unknown) => Promise<unknown>) | undefined
    if (handler === undefined) return
    handler(message.parameters).then(
      result => process.send?.({ id: message.id, result }),
      error => process.send?.({ id: message.id, error: String(error) })
    )
  })
  process.on('disconnect', () => process.exit(0))
}

let nextId = 1

/** Calls a method in a child process. Rejects when the method fails or the process exits. */
export function callChild<M extends keyof ChildMethods> (
  child: ChildProcess, method: M, parameters: ChildMethods[M]['parameters']
): Promise<ChildMethods[M]['result']> {
  const id = nextId++
  return new Promise((resolve, reject) => {
    const onExit = (code: number | null): void => reject(new Error(`a child process of the experiment exited with code ${code}`))
    const onMessage = (message: unknown): void => {
      const reply = message as { id: number, result: ChildMethods[M]['result'], error?: string }
      if (reply.id !== id) return
      child.off('message', onMessage)
      child.off('exit', onExit)
      if (reply.error === undefined) resolve(reply.result)
      else reject(new Error(reply.error))
    }
    child.on('message', onMessage)
    child.once('exit', onExit)
    child.send({ id, method, parameters }, error => { if (error !== null) reject(error) })
  })
}
