/**
 * Adapter from the key-value port to the etcd v3 JSON gateway: range, transaction, lease grant, keep-alive, revoke, watch.
 */
import { z } from 'zod'
import { FailureKind, Step, failed, success, type Failure, type Outcome } from '../failure.js'
import {
  WriteResult, type KeyValueCallOptions, type KeyValueEntry, type KeyValuePort, type KeyValueWrite, type LeaseGrant,
  type WatchEvent, type WriteOutcome
} from './key-value.js'
import { callJson, postStream } from './http-json.js'

const DEFAULT_DEADLINE_MILLISECONDS = 1000
const DEFAULT_MAXIMUM_WATCHES = 16

const headerSchema = z.object({ revision: z.coerce.number().default(0) })
const entrySchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: z.coerce.number(),
  create_revision: z.coerce.number(),
  lease: z.coerce.string().optional()
})
const rangeSchema = z.object({ header: headerSchema, kvs: z.array(entrySchema).default([]) })
const transactionSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: z.object({ kvs: z.array(entrySchema).default([]) }).optional() })).default([])
})
const grantSchema = z.object({ ID: z.coerce.string(), TTL: z.coerce.number() })
const keepAliveSchema = z.object({ result: z.object({ ID: z.coerce.string(), TTL: z.coerce.number().default(0) }) })
const watchSchema = z.object({
  result: z.object({
    header: headerSchema.optional(),
    canceled: z.boolean().optional(),
    events: z.array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: entrySchema.partial({ create_revision: true }) }))
      .default([])
  })
})

/** Options of the adapter. */
export interface EtcdOptions {
  /** Base addresses, `http://host:port`; the endpoint that answered last is tried first. */
  endpoints: string[]
  /** Deadline for a call that sets none, across all endpoints, milliseconds; 1,000 ms by default. */
  deadlineMilliseconds?: number
  /** Maximum number of concurrent watches; a further one ends immediately. 16 by default. */
  maximumWatches?: number
}

/** Returns whether a call that failed may be retried at another endpoint. */
type RetryPredicate = (failure: Failure) => boolean

const isReadRetryable: RetryPredicate = failure => RETRYABLE_READ_FAILURES.has(failure.kind)
const isWriteRetryable: RetryPredicate = failure => failure.kind === FailureKind.Unreachable
const RETRYABLE_READ_FAILURES: ReadonlySet<FailureKind> = new Set([
  FailureKind.Unreachable, FailureKind.Broken, FailureKind.TimedOut, FailureKind.Malformed
])
/**
 * HTTP statuses with which etcd rejects a write before it proposes it to the cluster, so that the write has no effect. After any other
 * error status, for example after a timeout at the service, the effect is unknown.
 */
const REFUSING_STATUSES: ReadonlySet<number | undefined> = new Set([400, 404, 413, 429])

/** Creates a key-value port that uses the etcd v3 JSON gateway. */
export function createEtcdKeyValue (options: EtcdOptions): KeyValuePort {
  const { endpoints } = options
  let preferredIndex = 0
  let activeWatches = 0

  async function call<T> (
    path: string, body: unknown, schema: z.ZodType<T>, mayRetry: RetryPredicate, callOptions: KeyValueCallOptions | undefined
  ): Promise<Outcome<T>> {
    const deadlineMilliseconds = callOptions?.deadlineMilliseconds ?? options.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS
    const deadlineAt = performance.now() + deadlineMilliseconds
    let outcome: Outcome<T> = failed(noEndpointFailure())
    for (let attempts = 0; attempts < endpoints.length; attempts += 1) {
      const remainingMilliseconds = deadlineAt - performance.now()
      if (remainingMilliseconds <= 0) return outcome
      outcome = await callJson(`${endpoints[preferredIndex]}${path}`, body, schema, Step.KeyValue, remainingMilliseconds / (endpoints.length - attempts))
      if (outcome.ok || !mayRetry(outcome.failure)) return outcome
      preferredIndex = (preferredIndex + 1) % endpoints.length
    }
    return outcome
  }

  async function * watch (key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<WatchEvent[]> {
    if (activeWatches >= (options.maximumWatches ?? DEFAULT_MAXIMUM_WATCHES)) return
    activeWatches += 1
    try {
      yield * watchKey(endpoints[preferredIndex] ?? '', key, afterRevision, signal)
    } finally {
      activeWatches -= 1
    }
  }

  return {
    async get (key, callOptions) {
      const outcome = await call('/v3/kv/range', { key: toBase64(key) }, rangeSchema, isReadRetryable, callOptions)
      if (!outcome.ok) return outcome
      const entry = outcome.value.kvs[0]
      return success({ entry: entry === undefined ? undefined : toEntry(entry), revision: outcome.value.header.revision })
    },
    async list (prefix, callOptions) {
      const outcome = await call('/v3/kv/range', { key: toBase64(prefix), range_end: toBase64(prefixEnd(prefix)) }, rangeSchema, isReadRetryable, callOptions)
      if (!outcome.ok) return outcome
      return success({ entries: outcome.value.kvs.map(toEntry), revision: outcome.value.header.revision })
    },
    async compareAndSwap (write, callOptions) {
      const outcome = await call('/v3/kv/txn', toTransaction(write), transactionSchema, isWriteRetryable, callOptions)
      return toWriteOutcome(outcome)
    },
    async grantLease (timeToLiveMilliseconds, callOptions) {
      const body = { TTL: String(Math.ceil(timeToLiveMilliseconds / 1000)), ID: '0' }
      const outcome = await call('/v3/lease/grant', body, grantSchema, isWriteRetryable, callOptions)
      return outcome.ok ? success(toGrant(outcome.value)) : outcome
    },
    async renewLease (leaseId, callOptions) {
      const outcome = await call('/v3/lease/keepalive', { ID: leaseId }, keepAliveSchema, isWriteRetryable, callOptions)
      if (!outcome.ok) return outcome
      const grant = toGrant(outcome.value.result)
      if (grant.timeToLiveMilliseconds > 0) return success(grant)
      return failed({ kind: FailureKind.Refused, step: Step.KeyValue, peer: endpoints[0] ?? '', detail: 'the lease has expired' })
    },
    async revokeLease (leaseId, callOptions) {
      const outcome = await call('/v3/lease/revoke', { ID: leaseId }, z.object({}), isWriteRetryable, callOptions)
      return outcome.ok ? success(undefined) : outcome
    },
    watch
  }
}

async function * watchKey (endpoint: string, key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<WatchEvent[]> {
  const body = { create_request: { key: toBase64(key), start_revision: String(afterRevision + 1) } }
  for await (const line of postStream(`${endpoint}/v3/watch`, body, signal)) {
    const message = watchSchema.safeParse(line)
    if (!message.success || message.data.result.canceled === true) return
    const events = message.data.result.events.map(event => toWatchEvent(event))
    if (events.length > 0) yield events
  }
}

function toWatchEvent (event: z.infer<typeof watchSchema>['result']['events'][number]): WatchEvent {
  const key = fromBase64(event.kv.key)
  const revision = event.kv.mod_revision
  if (event.type === 'DELETE') return { key, revision }
  return { key, revision, entry: toEntry({ ...event.kv, create_revision: event.kv.create_revision ?? revision }) }
}

function toTransaction (write: KeyValueWrite): unknown {
  const key = toBase64(write.key)
  const change = write.value === undefined
    ? { request_delete_range: { key } }
    : { request_put: { key, value: toBase64(write.value), lease: write.leaseId } }
  return {
    compare: [{ key, target: 'MOD', result: 'EQUAL', mod_revision: String(write.expectedModRevision) }],
    success: [change],
    failure: [{ request_range: { key } }]
  }
}

function toWriteOutcome (outcome: Outcome<z.infer<typeof transactionSchema>>): WriteOutcome {
  if (!outcome.ok) return toWriteFailure(outcome.failure)
  const { header, succeeded, responses } = outcome.value
  if (succeeded) return { kind: WriteResult.Committed, revision: header.revision }
  const current = responses[0]?.response_range?.kvs[0]
  return { kind: WriteResult.Conflict, current: current === undefined ? undefined : toEntry(current), revision: header.revision }
}

function toWriteFailure (failure: Failure): WriteOutcome {
  const isRefused = failure.kind === FailureKind.Refused && REFUSING_STATUSES.has(failure.status)
  const isNotSent = isRefused || failure.kind === FailureKind.Unreachable || failure.kind === FailureKind.Unauthenticated
  return { kind: isNotSent ? WriteResult.NotSent : WriteResult.Ambiguous, failure }
}

function toEntry (entry: z.infer<typeof entrySchema>): KeyValueEntry {
  return {
    key: fromBase64(entry.key),
    value: fromBase64(entry.value),
    modRevision: entry.mod_revision,
    createRevision: entry.create_revision,
    leaseId: entry.lease === '0' ? undefined : entry.lease
  }
}

function toGrant (grant: { ID: string, TTL: number }): LeaseGrant {
  return { leaseId: grant.ID, timeToLiveMilliseconds: grant.TTL * 1000 }
}

function prefixEnd (prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1)
}

function toBase64 (text: string): string {
  return Buffer.from(text).toString('base64')
}

function fromBase64 (text: string): string {
  return Buffer.from(text, 'base64').toString()
}

function noEndpointFailure (): Failure {
  return { kind: FailureKind.Unreachable, step: Step.KeyValue, peer: 'local', detail: 'no endpoint is set' }
}
