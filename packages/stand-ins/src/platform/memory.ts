/**
 * A key-value port that calls the in-memory store directly, with injected faults for tests.
 */
import {
  FailureKind, Step, WriteResult, failed, success, type Failure, type KeyValuePort, type Outcome, type WatchEvent
} from '@wigeonlead/protocol'
import type { KeyValueStore } from './store.js'

/** Faults to inject into one call. */
export enum KeyValueFault {
  /** The connection fails, and the call has no effect. */
  Unreachable = 'unreachable',
  /** The call takes effect and its reply is lost. */
  LostReply = 'lost-reply',
  /** The call is lost and has no effect; the caller can't distinguish this from a lost reply. */
  LostRequest = 'lost-request'
}

/** Options of the memory port. */
export interface MemoryKeyValueOptions {
  /** Returns the fault of a call, or undefined for none. */
  fault?: (operation: string, key: string) => KeyValueFault | undefined
  /** Returns the delay before a call takes effect, milliseconds; 0 by default. */
  delayMilliseconds?: () => number
}

/** Creates a key-value port over a store. */
export function createMemoryKeyValue (store: KeyValueStore, options: MemoryKeyValueOptions = {}): KeyValuePort {
  async function call<T> (operation: string, key: string, run: () => T): Promise<Outcome<T>> {
    const delay = options.delayMilliseconds?.() ?? 0
    if (delay > 0) await new Promise(resolve => setTimeout(resolve, delay))
    const fault = options.fault?.(operation, key)
    if (fault === undefined) return success(run())
    if (fault === KeyValueFault.LostReply) run()
    return failed(toFailure(fault))
  }

  return {
    get: key => call('get', key, () => ({ entry: store.get(key), revision: store.revision() })),
    list: prefix => call('list', prefix, () => ({ entries: store.list(prefix), revision: store.revision() })),
    async compareAndSwap (write) {
      const outcome = await call('compareAndSwap', write.key, () => store.compareAndSwap(write))
      if (!outcome.ok) {
        const kind = outcome.failure.kind === FailureKind.Unreachable ? WriteResult.NotSent : WriteResult.Ambiguous
        return { kind, failure: outcome.failure }
      }
      const result = outcome.value
      if (result.committed) return { kind: WriteResult.Committed, revision: result.revision }
      return { kind: WriteResult.Conflict, current: result.current, revision: result.revision }
    },
    grantLease: timeToLiveMilliseconds =>
      call('grantLease', '', () => ({ leaseId: store.grantLease(timeToLiveMilliseconds), timeToLiveMilliseconds })),
    async renewLease (leaseId) {
      const outcome = await call('renewLease', leaseId, () => store.renewLease(leaseId))
      if (!outcome.ok) return outcome
      if (outcome.value > 0) return success({ leaseId, timeToLiveMilliseconds: outcome.value })
      return failed({ kind: FailureKind.Refused, step: Step.KeyValue, peer: 'memory', detail: 'the lease has expired' })
    },
    revokeLease: leaseId => call('revokeLease', leaseId, () => store.revokeLease(leaseId)),
    watch: (key, afterRevision, signal) => watchStore(store, key, afterRevision, signal)
  }
}

/** Yields the changes of a key after a revision, in batches, until the signal aborts. */
export async function * watchStore (
  store: KeyValueStore, key: string, afterRevision: number, signal: AbortSignal
): AsyncIterable<WatchEvent[]> {
  const queue: WatchEvent[] = store.changesSince(key, afterRevision)
  let wake = (): void => {}
  const stop = store.onChange(key, event => {
    queue.push(event)
    wake()
  })
  signal.addEventListener('abort', () => wake(), { once: true })
  try {
    while (!signal.aborted) {
      if (queue.length > 0) yield queue.splice(0)
      else await new Promise<void>(resolve => { wake = resolve })
    }
  } finally {
    stop()
  }
}

function toFailure (fault: KeyValueFault): Failure {
  const origin = { step: Step.KeyValue, peer: 'memory', detail: fault }
  if (fault === KeyValueFault.Unreachable) return { ...origin, kind: FailureKind.Unreachable }
  return { ...origin, kind: FailureKind.TimedOut, afterMilliseconds: 1000 }
}
