/**
 * Access to the key-value service through a peer, for a failure domain that is cut off from the platform but not from its peers.
 */
import {
  FailureKind, MemberState, PeerMethod, Step, WriteResult, failed,
  type Failure, type KeyValuePort, type KeyValueRead, type KeyValueRelayParameters, type KeyValueRelayResult, type MemberEntry,
  type Outcome, type PeerHandlers, type PeerPort, type WriteOutcome
} from '@wigeonlead/protocol'

/** A key-value port that falls back on peers, and the handlers by which this node relays the calls of its peers. */
export interface RelayedKeyValue {
  keyValue: KeyValuePort
  handlers: PeerHandlers
}

/** Dependencies of the relay. */
export interface RelayedKeyValueDependencies {
  /** The direct port to the key-value service. Calls of peers are served by it alone, so that no call is relayed twice. */
  direct: KeyValuePort
  peers: PeerPort
  self: () => MemberEntry
  members: () => MemberEntry[]
}

const RELAYED_KEY_PREFIX = '/wigeonlead/'
const MAXIMUM_VALUE_CHARACTERS = 1_048_576
const MAXIMUM_CONCURRENT_RELAYS = 16
const MAXIMUM_RELAY_CANDIDATES = 3
const RELAY_DEADLINE_MILLISECONDS = 2000
/** After a direct call has failed, calls go to peers without trying the direct port for this long. */
const DIRECT_RETRY_MILLISECONDS = 2000

/**
 * Creates a key-value port whose reads and writes go through a peer while this node can't reach the key-value service. Leases, lists
 * and watches are not relayed. A relayed write whose answer is lost is ambiguous, like a direct write.
 */
export function createRelayedKeyValue ({ direct, peers, self, members }: RelayedKeyValueDependencies): RelayedKeyValue {
  let retryDirectAt = 0
  let callsInFlight = 0

  /** Returns the addresses of the peers to relay through, those in other failure domains first. */
  function candidates (): string[] {
    const { address, failureDomain } = self()
    const others = members().filter(member => member.state === MemberState.Alive && member.address !== address)
    const isInOtherDomain = (member: MemberEntry): boolean => member.failureDomain !== failureDomain
    return [...others.filter(isInOtherDomain), ...others.filter(member => !isInOtherDomain(member))]
      .slice(0, MAXIMUM_RELAY_CANDIDATES)
      .map(member => member.address)
  }

  /**
   * Sends a call to one peer after another until one of them has executed it or may have.
   * @returns undefined if each peer was unreachable, refused the call or could not reach the service; the call was not executed then.
   */
  async function relay (parameters: KeyValueRelayParameters): Promise<Outcome<KeyValueRelayResult> | undefined> {
    for (const address of candidates()) {
      const outcome = await peers.call(address, PeerMethod.KeyValueRelay, parameters, RELAY_DEADLINE_MILLISECONDS)
      if (outcome.ok && !isServiceUnreachable(outcome.value)) return outcome
      if (!outcome.ok && !isNotExecuted(outcome.failure)) return outcome
    }
  }

  function recordDirectResult (isReached: boolean): void {
    retryDirectAt = isReached ? 0 : performance.now() + DIRECT_RETRY_MILLISECONDS
  }

  function mayTryDirect (): boolean {
    return performance.now() >= retryDirectAt
  }

  async function get (key: string, options: Parameters<KeyValuePort['get']>[1]): Promise<Outcome<KeyValueRead>> {
    const outcome = mayTryDirect() ? await direct.get(key, options) : undefined
    if (outcome !== undefined) recordDirectResult(outcome.ok || !isUnreachable(outcome.failure))
    if (outcome !== undefined && (outcome.ok || !isUnreachable(outcome.failure))) return outcome
    const relayed = await relay({ kind: 'get', key })
    if (relayed === undefined) return outcome ?? failed(noRelayFailure())
    if (!relayed.ok) return relayed
    return relayed.value.kind === 'get' ? relayed.value.outcome : failed(mismatchFailure())
  }

  async function compareAndSwap (...call: Parameters<KeyValuePort['compareAndSwap']>): Promise<WriteOutcome> {
    const outcome = mayTryDirect() ? await direct.compareAndSwap(...call) : undefined
    if (outcome !== undefined) recordDirectResult(outcome.kind !== WriteResult.NotSent)
    if (outcome !== undefined && outcome.kind !== WriteResult.NotSent) return outcome
    const relayed = await relay({ kind: 'compare-and-swap', write: call[0] })
    if (relayed === undefined) return outcome ?? { kind: WriteResult.NotSent, failure: noRelayFailure() }
    if (!relayed.ok) return { kind: WriteResult.Ambiguous, failure: relayed.failure }
    return relayed.value.kind === 'compare-and-swap' ? relayed.value.outcome : { kind: WriteResult.Ambiguous, failure: mismatchFailure() }
  }

  async function serveRelay (parameters: KeyValueRelayParameters): Promise<KeyValueRelayResult> {
    if (callsInFlight >= MAXIMUM_CONCURRENT_RELAYS) throw new Error('too many relayed calls at once')
    validateRelayed(parameters)
    callsInFlight += 1
    try {
      if (parameters.kind === 'get') return { kind: 'get', outcome: withoutCause(await direct.get(parameters.key)) }
      return { kind: 'compare-and-swap', outcome: withoutCause(await direct.compareAndSwap(parameters.write)) }
    } finally {
      callsInFlight -= 1
    }
  }

  return {
    keyValue: { ...direct, get, compareAndSwap },
    handlers: { [PeerMethod.KeyValueRelay]: serveRelay }
  }
}

function validateRelayed (parameters: KeyValueRelayParameters): void {
  const key = parameters.kind === 'get' ? parameters.key : parameters.write.key
  if (!key.startsWith(RELAYED_KEY_PREFIX)) throw new Error('the key is not one of the router')
  const value = parameters.kind === 'get' ? undefined : parameters.write.value
  if (value !== undefined && value.length > MAXIMUM_VALUE_CHARACTERS) throw new Error('the value is too large')
}

function isServiceUnreachable (result: KeyValueRelayResult): boolean {
  if (result.kind === 'get') return !result.outcome.ok && isUnreachable(result.outcome.failure)
  return result.outcome.kind === WriteResult.NotSent
}

function isNotExecuted (failure: Failure): boolean {
  return isUnreachable(failure) || failure.kind === FailureKind.Refused || failure.kind === FailureKind.Unauthenticated
}

function isUnreachable (failure: Failure): boolean {
  return failure.kind === FailureKind.Unreachable
}

/** Removes the cause of a failure, which may contain values that JSON can't represent. */
function withoutCause<T extends object> (outcome: T): T {
  if (!('failure' in outcome)) return outcome
  return { ...outcome, failure: { ...outcome.failure as Failure, cause: undefined } }
}

function noRelayFailure (): Failure {
  return { kind: FailureKind.Unreachable, step: Step.KeyValue, peer: 'local', detail: 'neither the service nor a relay can be reached' }
}

function mismatchFailure (): Failure {
  return { kind: FailureKind.Malformed, step: Step.KeyValue, peer: 'relay', detail: 'the relay answered another call' }
}
