/**
 * Messages between the slopes experiment and its child processes: the reply to each message has the same id.
 */
import type { ChildProcess } from 'node:child_process'
import type { VmEntry } from '@wigeonlead/protocol'

/** A node of the measured fleet. */
export interface FleetNode {
  vm: string
  failureDomain: string
}

/** Addresses of the stand-in services. */
export interface PlatformAddresses {
  /** `host:port`. */
  keyValue: string
  vmList: string
  engines: string[]
}

/** What one child process measured, summed over its nodes. */
export interface FleetSample {
  nodes: number
  seconds: number
  processorSeconds: number
  /** Bytes sent and received, by kind of the other end. */
  bytes: Record<TrafficKind, number>
  keyValueReads: number
  keyValueWrites: number
  engineReports: number
  /** Calls that these nodes made to peers. */
  peerCalls: number
  /** Bytes of gossip bodies, requests and responses, in the calls that these nodes made. */
  gossipBytes: number
  /** Bytes of load report bodies, requests and responses, in the calls that these nodes made. */
  reportsBytes: number
  /** Heap in use after a garbage collection. */
  heapBytes: number
  residentBytes: number
}

/** Kind of the other end of a connection. */
export enum TrafficKind {
  Peers = 'peers',
  KeyValue = 'key-value',
  VmList = 'vm-list',
  Engines = 'engines'
}

/** Methods that the experiment calls in its child processes, with their parameters and results. */
export interface ChildMethods {
  /** Starts the stand-in services and engines. */
  platform: { parameters: { engines: number, models: number }, result: PlatformAddresses }
  /** Sets the entries of the VM list. */
  vms: { parameters: { vms: VmEntry[] }, result: null }
  /** Opens the peer listeners of the nodes. @returns their addresses. */
  open: { parameters: { nodes: FleetNode[] }, result: string[] }
  /** Creates and starts the routers. */
  start: { parameters: { platform: PlatformAddresses, seeds: string[] }, result: null }
  /**
   * Waits until every node has a generation in force.
   * @returns when the last node had it in force, milliseconds since 1970; null after the timeout.
   */
  reached: { parameters: { generation: number, timeoutMilliseconds: number }, result: number | null }
  /** Measures the nodes over the given time. */
  measure: { parameters: { milliseconds: number }, result: FleetSample }
  /** Halts the first nodes without notice, which simulates their death. @returns their addresses. */
  halt: { parameters: { count: number }, result: string[] }
  /** Partitions all nodes from some peers and from the key-value service, or heals the partition. */
  cut: { parameters: { addresses: string[], isKeyValueCut: boolean }, result: null }
  /**
   * Waits until no node lists one of the addresses as alive.
   * @returns when the last node stopped doing so, milliseconds since 1970; null after the timeout.
   */
  noticed: { parameters: { addresses: string[], timeoutMilliseconds: number }, result: number | null }
}

/** The methods that a child process implements. */
export type ChildHandlers = { [M in keyof ChildMethods]?: (parameters: ChildMethods[M]['parameters']) => Promise<ChildMethods[M]['result']> }

/** Calls the handler of each message of the parent process and sends the result back. Exits when the parent disconnects. */
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

/** Calls a method in a child process. Rejects when the method fails or the process ends. */
export function callChild<M extends keyof ChildMethods> (
  child: ChildProcess, method: M, parameters: ChildMethods[M]['parameters']
): Promise<ChildMethods[M]['result']> {
  const id = nextId++
  return new Promise((resolve, reject) => {
    const onExit = (code: number | null): void => reject(new Error(`a child process of the experiment ended with ${code}`))
    const onMessage = (message: unknown): void => {
      const answer = message as { id: number, result: ChildMethods[M]['result'], error?: string }
      if (answer.id !== id) return
      child.off('message', onMessage)
      child.off('exit', onExit)
      if (answer.error === undefined) resolve(answer.result)
      else reject(new Error(answer.error))
    }
    child.on('message', onMessage)
    child.once('exit', onExit)
    child.send({ id, method, parameters }, error => { if (error !== null) reject(error) })
  })
}
