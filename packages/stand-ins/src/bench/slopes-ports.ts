/**
 * Port wrappers for the measured nodes: they count calls, and can simulate a partition from peers and from the key-value service.
 */
import {
  FailureKind, PeerMethod, Step, WriteResult, failed,
  type EnginePort, type Failure, type KeyValuePort, type PeerPort, type WatchEvent
} from '@wigeonlead/protocol'

/** Counts since the start, summed over all nodes of this process. Bytes are estimated from a sample of the calls. */
export interface PortCounts {
  /** Calls to the key-value service that read a key, list a prefix or start a watch. */
  reads: number
  /** Calls to the key-value service that write a key, or grant, renew or revoke a lease. */
  writes: number
  engineReportCalls: number
  peerCalls: number
  gossipBytes: number
  reportExchangeBytes: number
}

/** Wrappers for the ports of this process's nodes. */
export interface InstrumentedPorts {
  portCounts: PortCounts
  wrapKeyValue: (port: KeyValuePort) => KeyValuePort
  wrapEngines: (port: EnginePort) => EnginePort
  wrapPeers: (port: PeerPort) => PeerPort
  /** Sets the peers that these nodes can't reach, and whether they can't reach the key-value service. Initially they reach all. */
  setPartition: (addresses: string[], isKeyValueUnreachable: boolean) => void
}

/** On average, one call in this number has its bodies measured; measuring every call would take too much of the nodes' processor time. */
const SAMPLING_INTERVAL = 16
const PARTITION_FAILURE: Failure = { kind: FailureKind.Unreachable, step: Step.Peer, peer: 'cut', detail: 'cut off by the experiment' }

/** Creates wrappers whose counts start at zero. */
export function createInstrumentedPorts (): InstrumentedPorts {
  const portCounts: PortCounts = { reads: 0, writes: 0, engineReportCalls: 0, peerCalls: 0, gossipBytes: 0, reportExchangeBytes: 0 }
  let unreachablePeers: ReadonlySet<string> = new Set()
  let isKeyValueUnreachable = false

  function wrapKeyValue (port: KeyValuePort): KeyValuePort {
    const read = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => async (...args: A): Promise<R> => {
      portCounts.reads += 1
      return isKeyValueUnreachable ? failed(PARTITION_FAILURE) as R : await call(...args)
    }
    const write = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => async (...args: A): Promise<R> => {
      portCounts.writes += 1
      return isKeyValueUnreachable ? failed(PARTITION_FAILURE) as R : await call(...args)
    }
    return {
      get: read(port.get),
      list: read(port.list),
      async compareAndSwap (change, options) {
        portCounts.writes += 1
        return isKeyValueUnreachable
          ? { kind: WriteResult.NotSent, failure: PARTITION_FAILURE }
          : await port.compareAndSwap(change, options)
      },
      grantLease: write(port.grantLease),
      renewLease: write(port.renewLease),
      revokeLease: write(port.revokeLease),
      watch (key, afterRevision, signal) {
        portCounts.reads += 1
        return watchUntilPartitioned(port.watch(key, afterRevision, signal))
      }
    }
  }

  async function * watchUntilPartitioned (events: AsyncIterable<WatchEvent[]>): AsyncIterable<WatchEvent[]> {
    if (isKeyValueUnreachable) return
    for await (const batch of events) {
      if (isKeyValueUnreachable) return
      yield batch
    }
  }

  function wrapEngines (port: EnginePort): EnginePort {
    return {
      ...port,
      report (target, deadlineMilliseconds) {
        portCounts.engineReportCalls += 1
        return port.report(target, deadlineMilliseconds)
      }
    }
  }

  function wrapPeers (port: PeerPort): PeerPort {
    return {
      ...port,
      async call (address, method, parameters, deadlineMilliseconds) {
        if (unreachablePeers.has(address)) return failed(PARTITION_FAILURE)
        const outcome = await port.call(address, method, parameters, deadlineMilliseconds)
        portCounts.peerCalls += 1
        if (Math.random() * SAMPLING_INTERVAL < 1) countBytes(method, JSON.stringify(parameters).length + JSON.stringify(outcome).length)
        return outcome
      }
    }
  }

  function countBytes (method: PeerMethod, bytes: number): void {
    if (method === PeerMethod.Gossip) portCounts.gossipBytes += bytes * SAMPLING_INTERVAL
    if (method === PeerMethod.Reports) portCounts.reportExchangeBytes += bytes * SAMPLING_INTERVAL
  }

  return {
    portCounts,
    wrapKeyValue,
    wrapEngines,
    wrapPeers,
    setPartition (addresses, isUnreachable) {
      unreachablePeers = new Set(addresses)
      isKeyValueUnreachable = isUnreachable
    }
  }
}
