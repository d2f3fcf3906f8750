/**
 * Tagged failures shared by every package. A failure names its kind, the step that was being done and the peer at which it arose.
 */

/** What was being done when a failure arose. */
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

/** The closed set of failure kinds. */
export enum FailureKind {
  /** No connection could be made: certainly nothing was sent. */
  Unreachable = 'unreachable',
  /** The peer answered that it did not take the work: certainly nothing ran. */
  Refused = 'refused',
  /** No answer in time: the work may have run. */
  TimedOut = 'timed-out',
  /** The connection ended after something was sent: the work may have run. */
  Broken = 'broken',
  /** The peer's answer does not follow the protocol. */
  Malformed = 'malformed',
  /** The credential was missing or wrong: nothing ran. */
  Unauthenticated = 'unauthenticated',
  /** The caller of the operation gave it up. */
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
  | FailureOrigin & { kind: FailureKind.Aborted }

/** Either a value or the failure that took its place. */
export type Outcome<T> = { ok: true, value: T } | { ok: false, failure: Failure }

/** Wraps a value as a successful outcome. */
export function success<T> (value: T): Outcome<T> {
  return { ok: true, value }
}

/** Wraps a failure as an outcome. */
export function failed<T> (failure: Failure): Outcome<T> {
  return { ok: false, failure }
}

const CERTAINLY_NOT_SENT: ReadonlySet<FailureKind> = new Set([
  FailureKind.Unreachable, FailureKind.Refused, FailureKind.Unauthenticated
])

/** Tells whether the failure proves that the peer did none of the work. */
export function isCertainlyNotSent (failure: Failure): boolean {
  return CERTAINLY_NOT_SENT.has(failure.kind)
}

/** Renders a failure in one line for logs and problem details. */
export function describeFailure (failure: Failure): string {
  return `${failure.kind} at ${failure.step} with ${failure.peer}: ${failure.detail}`
}
