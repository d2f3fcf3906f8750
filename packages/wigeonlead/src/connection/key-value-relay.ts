/**
 * The key-value service through a peer: for a failure domain that is cut off from the platform but not from its peers.
 */
import {
  FailureKind, MemberState, PeerMethod, Step, WriteResult, failed,
  type Failure, type KeyValuePort, type KeyValueRead, type KeyValueRelayParameters, type KeyValueRelayResult, type MemberEntry,
  type Outcome, type PeerHandlers, type PeerPort, type WriteOutcome
} from '@wigeonlead/protocol'

/** A key-value port that falls back on peers, and what this node answers as a relay. */
export interface RelayedKeyValue {
  keyValue: KeyValuePort
  handlers: PeerHandlers
}

/** What the relay needs. */
export interface RelayedKeyValueParts {
  /** The port that is relayed; also the one by which peers are served, so that no call is relayed twice. */
  direct: KeyValuePort
  peers: PeerPort
  self: () => MemberEntry
  members: () => MemberEntry[]
}

const RELAYED_PREFIX = '/wigeonlead/'
const MAXIMUM_VALUE_CHARACTERS = 1_048_576
const RELAYS_AT_ONCE = 16
const RELAYS_TRIED = 3
const RELAY_DEADLINE_MILLISECONDS = 2000
/** How long the way through peers is taken at once after the direct one failed. */
const DIRECT_RETRY_MILLISECONDS = 2000

/**
 * Makes a key-value port whose reads and writes go through a peer while the service can't be reached from here. Leases, lists and
 * watches are not relayed. A relayed write whose answer is lost is ambiguous, like a direct one.
 */
export function createRelayedKeyValue ({ direct, peers, self, members }: RelayedKeyValueParts): RelayedKeyValue {
  let directAgainAt = 0
  let served = 0

  function candidates (): string[] {
    const { address, failureDomain } = self()
    const others = members().filter(member => member.state === MemberState.Alive && member.address !== address)
    const isFar = (member: MemberEntry): boolean => member.failureDomain !== failureDomain
    return [...others.filter(isFar), ...others.filter(member => !isFar(member))].slice(0, RELAYS_TRIED).map(member => member.address)
  }

  /** @returns undefined where no peer could be reached, in which case nothing was done. */
  async function relay (parameters: KeyValueRelayParameters): Promise<Outcome<KeyValueRelayResult> | undefined> {
    for (const address of candidates()) {
      const outcome = await peers.call(address, PeerMethod.KeyValueRelay, parameters, RELAY_DEADLINE_MILLISECONDS)
      if (outcome.ok && !isUnreached(outcome.value)) return outcome
      if (!outcome.ok && !isProvenUndone(outcome.failure)) return outcome
    }
  }

  function noteDirect (isReached: boolean): void {
    directAgainAt = isReached ? 0 : performance.now() + DIRECT_RETRY_MILLISECONDS
  }

  function mayTryDirect (): boolean {
    return performance.now() >= directAgainAt
  }

  async function get (key: string, options: Parameters<KeyValuePort['get']>[1]): Promise<Outcome<KeyValueRead>> {
    const outcome = mayTryDirect() ? await direct.get(key, options) : undefined
    if (outcome !== undefined) noteDirect(outcome.ok || !isUnreachable(outcome.failure))
    if (outcome !== undefined && (outcome.ok || !isUnreachable(outcome.failure))) return outcome
    const relayed = await relay({ kind: 'get', key })
    if (relayed === undefined) return outcome ?? failed(noRelay())
    if (!relayed.ok) return relayed
    return relayed.value.kind === 'get' ? relayed.value.outcome : failed(strangeAnswer())
  }

  async function compareAndSwap (...call: Parameters<KeyValuePort['compareAndSwap']>): Promise<WriteOutcome> {
    const outcome = mayTryDirect() ? await direct.compareAndSwap(...call) : undefined
    if (outcome !== undefined) noteDirect(outcome.kind !== WriteResult.NotSent)
    if (outcome !== undefined && outcome.kind !== WriteResult.NotSent) return outcome
    const relayed = await relay({ kind: 'compare-and-swap', write: call[0] })
    if (relayed === undefined) return outcome ?? { kind: WriteResult.NotSent, failure: noRelay() }
    if (!relayed.ok) return { kind: WriteResult.Ambiguous, failure: relayed.failure }
    return relayed.value.kind === 'compare-and-swap' ? relayed.value.outcome : { kind: WriteResult.Ambiguous, failure: strangeAnswer() }
  }

  async function serve (parameters: KeyValueRelayParameters): Promise<KeyValueRelayResult> {
    if (served >= RELAYS_AT_ONCE) throw new Error('too many relayed calls at once')
    checkRelayed(parameters)
    served += 1
    try {
      if (parameters.kind === 'get') return { kind: 'get', outcome: withoutCause(await direct.get(parameters.key)) }
      return { kind: 'compare-and-swap', outcome: withoutCause(await direct.compareAndSwap(parameters.write)) }
    } finally {
      served -= 1
    }
  }

  return {
    keyValue: { ...direct, get, compareAndSwap },
    handlers: { [PeerMethod.KeyValueRelay]: serve }
  }
}

function checkRelayed (parameters: KeyValueRelayParameters): void {
  const key = parameters.kind === 'get' ? parameters.key : parameters.write.key
  if (!key.startsWith(RELAYED_PREFIX)) throw new Error('the key is not one of the router')
  const value = parameters.kind === 'get' ? undefined : parameters.write.value
  if (value !== undefined && value.length > MAXIMUM_VALUE_CHARACTERS) throw new Error('the value is too large')
}

function isUnreached (result: KeyValueRelayResult): boolean {
  if (result.kind === 'get') return !result.outcome.ok && isUnreachable(result.outcome.failure)
  return result.outcome.kind === WriteResult.NotSent
}

function isProvenUndone (failure: Failure): boolean {
  return isUnreachable(failure) || failure.kind === FailureKind.Refused || failure.kind === FailureKind.Unauthenticated
}

function isUnreachable (failure: Failure): boolean {
  return failure.kind === FailureKind.Unreachable
}

/** A cause may hold what JSON can't carry. */
function withoutCause<T extends object> (outcome: T): T {
  if (!('failure' in outcome)) return outcome
  return { ...outcome, failure: { ...outcome.failure as Failure, cause: undefined } }
}

function noRelay (): Failure {
  return { kind: FailureKind.Unreachable, step: Step.KeyValue, peer: 'local', detail: 'neither the service nor a relay can be reached' }
}

function strangeAnswer (): Failure {
  return { kind: FailureKind.Malformed, step: Step.KeyValue, peer: 'relay', detail: 'the relay answered another call' }
}
