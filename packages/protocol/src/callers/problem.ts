/**
 * Refusals sent to callers: RFC 9457 problem details that also state whether this router sent the request and whether the order ran.
 */

/** Whether this router sent any part of this request to a target. */
export enum Submission {
  NotSent = 'not-sent',
  Sent = 'sent'
}

/** Whether the order has run, as a result of this submission or an earlier one through any entry VM. */
export enum OrderState {
  NotRun = 'not-run',
  Run = 'run',
  Unknown = 'unknown'
}

/** All reasons for a refusal. */
export enum ProblemType {
  MalformedRequest = 'malformed-request',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  UnknownModel = 'unknown-model',
  UnknownVersion = 'unknown-version',
  UnknownAdapter = 'unknown-adapter',
  UnknownService = 'unknown-service',
  UnknownOperation = 'unknown-operation',
  UnknownPath = 'unknown-path',
  MethodNotAllowed = 'method-not-allowed',
  BodyTooLarge = 'body-too-large',
  HeadersTooLarge = 'headers-too-large',
  RequestTimeout = 'request-timeout',
  KeyRequired = 'idempotency-key-required',
  KeyReused = 'idempotency-key-reused',
  KeyExpired = 'idempotency-key-expired',
  OrderUncertain = 'order-uncertain',
  OrderNotRun = 'order-not-run',
  AnswerNotKept = 'answer-not-kept',
  LimitReached = 'limit-reached',
  Overloaded = 'overloaded',
  DeadlineUnreachable = 'deadline-unreachable',
  NoPath = 'no-path',
  TargetFailed = 'target-failed',
  ClaimsUnavailable = 'claims-unavailable',
  NotReady = 'not-ready',
  InternalFault = 'internal-fault'
}

/** A refusal in the form of an RFC 9457 problem. */
export interface Problem {
  type: ProblemType
  title: string
  status: number
  detail: string
  submission: Submission
  order: OrderState
  retryAfterSeconds?: number
}

/** HTTP status code and title of each problem type. */
export const PROBLEM_TEMPLATES: Record<ProblemType, { status: number, title: string }> = {
  [ProblemType.MalformedRequest]: { status: 400, title: 'The request is malformed' },
  [ProblemType.Unauthenticated]: { status: 401, title: 'The key is missing or unknown' },
  [ProblemType.Forbidden]: { status: 403, title: 'The workspace may not use this' },
  [ProblemType.UnknownModel]: { status: 404, title: 'The model is not served' },
  [ProblemType.UnknownVersion]: { status: 404, title: 'The version is not served' },
  [ProblemType.UnknownAdapter]: { status: 404, title: 'The adapter is not served' },
  [ProblemType.UnknownService]: { status: 404, title: 'The service is not served' },
  [ProblemType.UnknownOperation]: { status: 404, title: 'The service has no such operation' },
  [ProblemType.UnknownPath]: { status: 404, title: 'Nothing is served here' },
  [ProblemType.MethodNotAllowed]: { status: 405, title: 'The method is not allowed here' },
  [ProblemType.BodyTooLarge]: { status: 413, title: 'The body is too large' },
  [ProblemType.HeadersTooLarge]: { status: 431, title: 'The header is too large' },
  [ProblemType.RequestTimeout]: { status: 408, title: 'The request did not arrive in time' },
  [ProblemType.KeyRequired]: { status: 400, title: 'The operation needs an Idempotency-Key' },
  [ProblemType.KeyReused]: { status: 422, title: 'The Idempotency-Key was used for another request' },
  [ProblemType.KeyExpired]: { status: 410, title: 'The Idempotency-Key is older than what is kept' },
  [ProblemType.OrderUncertain]: { status: 502, title: 'Whether the order ran is not known' },
  [ProblemType.OrderNotRun]: { status: 409, title: 'The order was given up without being run' },
  [ProblemType.AnswerNotKept]: { status: 409, title: 'The order has run, but its answer was too large to keep' },
  [ProblemType.LimitReached]: { status: 429, title: 'The workspace reached its limit' },
  [ProblemType.Overloaded]: { status: 503, title: 'The service is overloaded' },
  [ProblemType.DeadlineUnreachable]: { status: 503, title: 'The deadline cannot be met' },
  [ProblemType.NoPath]: { status: 503, title: 'No target can serve this now' },
  [ProblemType.TargetFailed]: { status: 502, title: 'The target failed' },
  [ProblemType.ClaimsUnavailable]: { status: 503, title: 'Orders cannot be claimed now' },
  [ProblemType.NotReady]: { status: 503, title: 'The router has no configuration yet' },
  [ProblemType.InternalFault]: { status: 500, title: 'The router failed' }
}

/** Optional fields of a problem. */
export interface ProblemOptions {
  submission?: Submission
  order?: OrderState
  retryAfterSeconds?: number
}

/**
 * Creates a problem.
 * @param options defaults to a request that this router has not sent and an order whose state is unknown.
 */
export function createProblem (type: ProblemType, detail: string, options: ProblemOptions = {}): Problem {
  const { submission = Submission.NotSent, order = OrderState.Unknown, retryAfterSeconds } = options
  return { type, ...PROBLEM_TEMPLATES[type], detail, submission, order, retryAfterSeconds }
}
