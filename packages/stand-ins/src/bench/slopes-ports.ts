/**
 * Ports of measured nodes: they count calls, and they can be cut off from peers and from the key-value service.
 */
import {
  FailureKind, PeerMethod, Step, WriteResult, failed,
  type EnginePort, type Failure, type KeyValuePort, type PeerPort, type WatchEvent
} from '@wigeonlead/protocol'

/** Calls and sampled bytes since the start, over all nodes of this process. */
export interface PortCounts {
  reads: number
  writes: number
  reports: number
  peerCalls: number
  gossipBytes: number
  reportsBytes: number
}

/** Wraps the ports of this process's nodes. */
export interface CountedPorts {
  counts: PortCounts
  countKeyValue: (port: KeyValuePort) => KeyValuePort
  countEngines: (port: EnginePort) => EnginePort
  countPeers: (port: PeerPort) => PeerPort
  /** Cuts these nodes off from some peers and from the key-value service; nothing is cut to begin with. */
  setCut: (addresses: string[], isKeyValueCut: boolean) => void
}

/** One call in so many is measured, so that measuring takes no time of the nodes. */
const BODIES_SAMPLED_IN = 16
const CUT: Failure = { kind: FailureKind.Unreachable, step: Step.Peer, peer: 'cut', detail: 'cut off by the experiment' }

/** Makes wrappers with counts of zero. */
export function createCountedPorts (): CountedPorts {
  const counts: PortCounts = { reads: 0, writes: 0, reports: 0, peerCalls: 0, gossipBytes: 0, reportsBytes: 0 }
  let cutPeers: ReadonlySet<string> = new Set()
  let isKeyValueCut = false

  function countKeyValue (port: KeyValuePort): KeyValuePort {
    const read = <A extends unknown[], R>(call: (...given: A) => Promise<R>) => async (...given: A): Promise<R> => {
      counts.reads += 1
      return isKeyValueCut ? failed(CUT) as R : await call(...given)
    }
    const write = <A extends unknown[], R>(call: (...given: A) => Promise<R>) => async (...given: A): Promise<R> => {
      counts.writes += 1
      return isKeyValueCut ? failed(CUT) as R : await call(...given)
    }
    return {
      get: read(port.get),
      list: read(port.list),
      async compareAndSwap (given, options) {
        counts.writes += 1
        return isKeyValueCut ? { kind: WriteResult.NotSent, failure: CUT } : await port.compareAndSwap(given, options)
      },
      grantLease: write(port.grantLease),
      renewLease: write(port.renewLease),
      revokeLease: write(port.revokeLease),
      watch (key, afterRevision, signal) {
        counts.reads += 1
        return untilCut(port.watch(key, afterRevision, signal))
      }
    }
  }

  async function * untilCut (events: AsyncIterable<WatchEvent[]>): AsyncIterable<WatchEvent[]> {
    if (isKeyValueCut) return
    for await (const batch of events) {
      if (isKeyValueCut) return
      yield batch
    }
  }

  function countEngines (port: EnginePort): EnginePort {
    return {
      ...port,
      report (target, deadlineMilliseconds) {
        counts.reports += 1
        return port.report(target, deadlineMilliseconds)
      }
    }
  }

  function countPeers (port: PeerPort): PeerPort {
    return {
      ...port,
      async call (address, method, parameters, deadlineMilliseconds) {
        if (cutPeers.has(address)) return failed(CUT)
        const outcome = await port.call(address, method, parameters, deadlineMilliseconds)
        counts.peerCalls += 1
        if (Math.random() * BODIES_SAMPLED_IN < 1) sample(method, JSON.stringify(parameters).length + JSON.stringify(outcome).length)
        return outcome
      }
    }
  }

  function sample (method: PeerMethod, bytes: number): void {
    if (method === PeerMethod.Gossip) counts.gossipBytes += bytes * BODIES_SAMPLED_IN
    if (method === PeerMethod.Reports) counts.reportsBytes += bytes * BODIES_SAMPLED_IN
  }

  return {
    counts,
    countKeyValue,
    countEngines,
    countPeers,
    setCut (addresses, isCut) {
      cutPeers = new Set(addresses)
      isKeyValueCut = isCut
    }
  }
}
