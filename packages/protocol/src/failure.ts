/**
 * Tagged failures shared by every package. A failure names its kind, the step that failed and the peer involved.
 */

/** The step that was running when a failure occurred. */
export enum Step {
  Settings = 'settings',
  Caller = 'caller',
  Admission = 'admission',
  PathChoice = 'path-choice',
  Engine = 'engine',
  EngineOrder = 'engine-order',
  Receipt = 'receipt',
  CacheTransfer = 'cache-transfer',
  Service = 'service',
  Claim = 'claim',
  KeyValue = 'key-value',
  VmList = 'vm-list',
  Peer = 'peer',
  Configuration = 'configuration'
}

/** All kinds of failure. */
export enum FailureKind {
  /** No connection could be established, so nothing was sent. */
  Unreachable = 'unreachable',
  /** The peer answered that it did not accept the work, so nothing ran. */
  Refused = 'refused',
  /** No answer arrived before the deadline; the work may have run. */
  TimedOut = 'timed-out',
  /** The connection ended after something was sent; the work may have run. */
  Broken = 'broken',
  /** The peer's answer does not follow the protocol. */
  Malformed = 'malformed',
  /** The credential was missing or wrong, so nothing ran. */
  Unauthenticated = 'unauthenticated',
  /** The answer describes a state that a later one has replaced; its content is not used. */
  Outdated = 'outdated',
  /** The code that started the operation cancelled it. */
  Aborted = 'aborted'
}

interface FailureOrigin {
  step: Step
  /** Address or name of the peer, or `local`. */
  peer: string
  detail: string
  cause?: unknown
}

/** A failure of one operation. */
export type Failure =
  | FailureOrigin & { kind: FailureKind.Unreachable }
  | FailureOrigin & { kind: FailureKind.Refused, status?: number, retryAfterMilliseconds?: number }
  | FailureOrigin & { kind: FailureKind.TimedOut, afterMilliseconds: number }
  | FailureOrigin & { kind: FailureKind.Broken }
  | FailureOrigin & { kind: FailureKind.Malformed }
  | FailureOrigin & { kind: FailureKind.Unauthenticated }
  | FailureOrigin & { kind: FailureKind.Outdated }
  | FailureOrigin & { kind: FailureKind.Aborted }

/** The result of an operation: a value, or the failure that prevented it. */
export type Outcome<T> = { ok: true, value: T } | { ok: false, failure: Failure }

/** Wraps a value as a successful outcome. */
export function success<T> (value: T): Outcome<T> {
  return { ok: true, value }
}

/** Wraps a failure as an outcome. */
export function failed<T> (failure: Failure): Outcome<T> {
  return { ok: false, failure }
}

const NOT_RUN_KINDS: ReadonlySet<FailureKind> = new Set([
  FailureKind.Unreachable, FailureKind.Refused, FailureKind.Unauthenticated
])

/** Returns whether the failure proves that the peer did none of the work. */
export function isCertainlyNotRun (failure: Failure): boolean {
  return NOT_RUN_KINDS.has(failure.kind)
}

/** Formats a failure as one line for logs and problem details. */
export function describeFailure (failure: Failure): string {
  return `${failure.kind} at ${failure.step} with ${failure.peer}: ${failure.detail}`
}
