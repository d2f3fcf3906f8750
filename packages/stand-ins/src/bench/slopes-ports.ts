/**
 * Port wrappers for the measured nodes: they count calls, and can simulate a partition from peers and from the key-value service.
 */
import {
  FailureKind, PeerMethod, Step, WriteResult, failed,
  type EnginePort, type Failure, type KeyValuePort, type PeerPort, type WatchEvent
} from '@wigeonlead/protocol'

/** Calls, and bytes extrapolated from sampled calls, since the start, over all nodes of this process. */
export interface PortCounts {
  reads: number
  writes: number
  reports: number
  peerCalls: number
  gossipBytes: number
  reportsBytes: number
}

/** Wrappers for the ports of this process's nodes. */
export interface InstrumentedPorts {
  counts: PortCounts
  wrapKeyValue: (port: KeyValuePort) => KeyValuePort
  wrapEngines: (port: EnginePort) => EnginePort
  wrapPeers: (port: PeerPort) => PeerPort
  /** Sets the peers that these nodes can't reach, and whether they can't reach the key-value service. At first they reach everything. */
  setPartition: (addresses: string[], isKeyValueUnreachable: boolean) => void
}

/** Bodies are measured in one of this many calls on average, so that measuring them takes little of the nodes' processor time. */
const SAMPLING_INTERVAL = 16
const PARTITION_FAILURE: Failure = { kind: FailureKind.Unreachable, step: Step.Peer, peer: 'cut', detail: 'cut off by the experiment' }

/** Creates wrappers with counts of zero. */
export function createInstrumentedPorts (): InstrumentedPorts {
  const counts: PortCounts = { reads: 0, writes: 0, reports: 0, peerCalls: 0, gossipBytes: 0, reportsBytes: 0 }
  let unreachablePeers: ReadonlySet<string> = new Set()
  let isKeyValueUnreachable = false

  function wrapKeyValue (port: KeyValuePort): KeyValuePort {
    const read = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => async (...args: A): Promise<R> => {
      counts.reads += 1
      return isKeyValueUnreachable ? failed(PARTITION_FAILURE) as R : await call(...args)
    }
    const write = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => async (...args: A): Promise<R> => {
      counts.writes += 1
      return isKeyValueUnreachable ? failed(PARTITION_FAILURE) as R : await call(...args)
    }
    return {
      get: read(port.get),
      list: read(port.list),
      async compareAndSwap (change, options) {
        counts.writes += 1
        return isKeyValueUnreachable
          ? { kind: WriteResult.NotSent, failure: PARTITION_FAILURE }
          : await port.compareAndSwap(change, options)
      },
      grantLease: write(port.grantLease),
      renewLease: write(port.renewLease),
      revokeLease: write(port.revokeLease),
      watch (key, afterRevision, signal) {
        counts.reads += 1
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
        counts.reports += 1
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
        counts.peerCalls += 1
        if (Math.random() * SAMPLING_INTERVAL < 1) countBytes(method, JSON.stringify(parameters).length + JSON.stringify(outcome).length)
        return outcome
      }
    }
  }

  function countBytes (method: PeerMethod, bytes: number): void {
    if (method === PeerMethod.Gossip) counts.gossipBytes += bytes * SAMPLING_INTERVAL
    if (method === PeerMethod.Reports) counts.reportsBytes += bytes * SAMPLING_INTERVAL
  }

  return {
    counts,
    wrapKeyValue,
    wrapEngines,
    wrapPeers,
    setPartition (addresses, isUnreachable) {
      unreachablePeers = new Set(addresses)
      isKeyValueUnreachable = isUnreachable
    }
  }
}
