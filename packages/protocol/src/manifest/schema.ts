/**
 * Shape of the manifest: which models and services run on which targets, and which workspaces may use them. Names are unique in each list.
 */
import { z } from 'zod'
import { EngineRole } from '../targets/engine.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, ".", "_" and "-", at most 63')
const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'an IP number and a port')
const positiveInteger = z.number().int().min(1)

/** How the router drives a pipeline. */
export enum DriverKind {
  /** The engines forward activations between stages and stream tokens back to the router. */
  Stream = 'stream',
  /** The router carries activations between stages. */
  Step = 'step'
}

/** How a non-idempotent operation is limited to running at most once. */
export enum ClaimKind {
  /** The router claims the caller's Idempotency-Key in the key-value service. */
  Keyed = 'keyed',
  /** No claim is stored; the router sends the request at most once and keeps track of it only in memory. */
  Keyless = 'keyless'
}

/** What the routing policy favours. */
export enum RoutingPreference {
  Balanced = 'balanced',
  Recovery = 'recovery',
  Throughput = 'throughput'
}

const objectivesSchema = z.strictObject({
  /** Minimum share of requests that are answered in full, for example 0.999. */
  availability: z.number().min(0.5).max(0.99999).default(0.999),
  firstTokenMilliseconds: positiveInteger.optional(),
  betweenTokensMilliseconds: positiveInteger.optional(),
  answerMilliseconds: positiveInteger.optional(),
  /** Minimum share of requests that meet the time objectives. */
  latencyShare: z.number().min(0.5).max(0.9999).default(0.95)
})

const modelSchema = z.strictObject({
  name,
  layers: positiveInteger,
  versions: z.array(name).min(1),
  /** Version for requests that name none; the last of `versions` by default. */
  defaultVersion: name.optional(),
  adapters: z.array(name).default([]),
  driver: z.enum(DriverKind).default(DriverKind.Stream),
  maximumTokens: positiveInteger.default(4096),
  objectives: objectivesSchema.optional()
})

const servedPartSchema = z.strictObject({
  model: name,
  version: name,
  adapters: z.array(name).default([]),
  /** Half-open range: [from, to). */
  layers: z.tuple([z.number().int().min(0), positiveInteger])
})

const targetSchema = z.strictObject({
  name,
  address,
  failureDomain: name,
  accelerator: name,
  role: z.enum(EngineRole).default(EngineRole.Both),
  /** Whether the engine refuses orders with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
  /** Number of sessions that the target runs concurrently. */
  capacity: positiveInteger.default(16),
  /** Tokens per second that the stage generates at full capacity. */
  tokensPerSecond: z.number().positive().default(100),
  serves: z.array(servedPartSchema)
})

const operationSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service; `*` matches one segment. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
  claim: z.enum(ClaimKind).default(ClaimKind.Keyed),
  /** How long an outcome is stored under its key. */
  retentionSeconds: positiveInteger.default(86_400),
  /** Expected number of orders per second; used to check that the claims fit in storage. */
  expectedPerSecond: z.number().positive().default(0.1)
})

const serviceSchema = z.strictObject({
  name,
  targets: z.array(z.strictObject({ name, address, failureDomain: name, capacity: positiveInteger.default(64) })),
  operations: z.array(operationSchema).min(1),
  maximumBodyBytes: positiveInteger.default(262_144),
  maximumResponseBytes: positiveInteger.default(1_048_576),
  timeoutMilliseconds: positiveInteger.default(10_000),
  /** Whether the load balancer in front of the router never retries a request by itself. */
  balancerNeverRepeats: z.boolean().default(false),
  objectives: objectivesSchema.optional()
})

const workspaceSchema = z.strictObject({
  name,
  /** SHA-256 digests of the bearer keys, lower-case hexadecimal. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')).min(1),
  weight: z.number().positive().max(1000).default(1),
  requestsPerSecond: z.number().positive().optional(),
  tokensPerSecond: z.number().positive().optional(),
  concurrentRequests: positiveInteger.optional(),
  /** Names of the models that the workspace may use; all if absent. */
  models: z.array(name).optional(),
  /** Names of the services that the workspace may use; all if absent. */
  services: z.array(name).optional(),
  /** Failure domains in which the workspace is served; all if absent. */
  failureDomains: z.array(name).optional()
})

const linkSchema = z.strictObject({
  from: name,
  to: name,
  delayMilliseconds: z.number().min(0),
  megabytesPerSecond: z.number().positive()
})

/** Shape of a whole manifest. */
export const manifestSchema = z.strictObject({
  format: z.literal(1),
  failureDomains: z.array(name).min(1),
  models: z.array(modelSchema).default([]),
  targets: z.array(targetSchema).default([]),
  services: z.array(serviceSchema).default([]),
  workspaces: z.array(workspaceSchema).min(1),
  links: z.array(linkSchema).default([]),
  routing: z.strictObject({
    lean: z.enum(RoutingPreference).default(RoutingPreference.Balanced)
  }).default({ lean: RoutingPreference.Balanced })
})

/** A whole manifest with its defaults filled in. */
export type Manifest = z.infer<typeof manifestSchema>
/** A model declared in the manifest. */
export type ManifestModel = z.infer<typeof modelSchema>
/** A target (model engine) declared in the manifest. */
export type ManifestTarget = z.infer<typeof targetSchema>
/** A layer range of a model version that a target is declared to serve. */
export type ManifestServedPart = z.infer<typeof servedPartSchema>
/** A plain service declared in the manifest. */
export type ManifestService = z.infer<typeof serviceSchema>
/** An operation of a plain service. */
export type ManifestOperation = z.infer<typeof operationSchema>
/** A workspace declared in the manifest. */
export type ManifestWorkspace = z.infer<typeof workspaceSchema>
/** A link between two failure domains. */
export type ManifestLink = z.infer<typeof linkSchema>
/** Service-level objectives of a model or service. */
export type ManifestObjectives = z.infer<typeof objectivesSchema>
