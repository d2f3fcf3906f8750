/**
 * Messages between the slopes experiment and its child processes: each is answered by one message with the same id.
 */
import type { ChildProcess } from 'node:child_process'
import type { VmEntry } from '@wigeonlead/protocol'

/** A node of the measured fleet. */
export interface FleetNode {
  vm: string
  failureDomain: string
}

/** Addresses of the stand-ins. */
export interface PlatformAddresses {
  /** `host:port`. */
  keyValue: string
  vmList: string
  engines: string[]
}

/** What one child process measured over all its nodes. */
export interface FleetSample {
  nodes: number
  seconds: number
  processorSeconds: number
  /** Sent and received, by kind of peer. */
  bytes: Record<TrafficKind, number>
  keyValueReads: number
  keyValueWrites: number
  engineReports: number
  /** Calls to peers that these nodes made. */
  peerCalls: number
  /** Bodies of gossip and of load reports, both ways, of the calls that these nodes made. */
  gossipBytes: number
  reportsBytes: number
  /** After a collection. */
  heapBytes: number
  residentBytes: number
}

/** With whom bytes are exchanged. */
export enum TrafficKind {
  Peers = 'peers',
  KeyValue = 'key-value',
  VmList = 'vm-list',
  Engines = 'engines'
}

/** What the experiment asks of its child processes, and the answers. */
export interface SlopeMethods {
  /** Starts the stand-ins. */
  platform: { parameters: { engines: number, models: number }, result: PlatformAddresses }
  /** Sets the VM list. */
  vms: { parameters: { vms: VmEntry[] }, result: null }
  /** Opens the peers' listeners of the nodes. */
  open: { parameters: { nodes: FleetNode[] }, result: string[] }
  /** Makes the routers and starts them. */
  start: { parameters: { platform: PlatformAddresses, seeds: string[] }, result: null }
  /** Waits until every node has a generation in force. @returns when the last one had, milliseconds since 1970. */
  reached: { parameters: { generation: number, timeoutMilliseconds: number }, result: number | null }
  measure: { parameters: { milliseconds: number }, result: FleetSample }
  /** Halts the first nodes, as a death would. @returns their addresses. */
  halt: { parameters: { count: number }, result: string[] }
  /** Cuts all nodes off from some peers and from the key-value service, or heals the cut. */
  cut: { parameters: { addresses: string[], isKeyValueCut: boolean }, result: null }
  /** Waits until no node calls one of the addresses alive. @returns when the last one stopped, milliseconds since 1970. */
  noticed: { parameters: { addresses: string[], timeoutMilliseconds: number }, result: number | null }
}

/** Answers of a child process. */
export type SlopeHandlers = { [M in keyof SlopeMethods]?: (parameters: SlopeMethods[M]['parameters']) => Promise<SlopeMethods[M]['result']> }

/** Answers the parent process's messages. */
export function answerParent (handlers: SlopeHandlers): void {
  process.on('message', (message: { id: number, method: keyof SlopeMethods, parameters: never }) => {
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

/** Asks a child process. Rejects when it fails or ends. */
export function askChild<M extends keyof SlopeMethods> (
  child: ChildProcess, method: M, parameters: SlopeMethods[M]['parameters']
): Promise<SlopeMethods[M]['result']> {
  const id = nextId++
  return new Promise((resolve, reject) => {
    const onExit = (code: number | null): void => reject(new Error(`a child process of the experiment ended with ${code}`))
    const onMessage = (message: unknown): void => {
      const answer = message as { id: number, result: SlopeMethods[M]['result'], error?: string }
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
