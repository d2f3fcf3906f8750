/**
 * Shape of the manifest: what is served, where, for whom. Names are unique in each list.
 */
import { z } from 'zod'
import { EngineRole } from '../targets/engine.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, ".", "_" and "-", at most 63')
const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'an IP number and a port')
const positive = z.number().int().min(1)

/** How the router drives a pipeline. */
export enum DriverKind {
  /** The engines forward between stages and stream tokens back. */
  Stream = 'stream',
  /** The router carries activations between stages. */
  Step = 'step'
}

/** Who makes sure that a non-idempotent operation runs at most once. */
export enum ClaimKind {
  /** The caller's Idempotency-Key is claimed in the key-value service. */
  Keyed = 'keyed',
  /** No claim: sent at most once by this router, from memory. */
  Keyless = 'keyless'
}

/** What the policy weighs more. */
export enum RoutingLean {
  Balanced = 'balanced',
  Recovery = 'recovery',
  Throughput = 'throughput'
}

const objectivesSchema = z.strictObject({
  /** Share of requests to be answered in full, for example 0.999. */
  availability: z.number().min(0.5).max(0.99999).default(0.999),
  firstTokenMilliseconds: positive.optional(),
  betweenTokensMilliseconds: positive.optional(),
  answerMilliseconds: positive.optional(),
  /** Share of requests to meet the time objectives. */
  latencyShare: z.number().min(0.5).max(0.9999).default(0.95)
})

const modelSchema = z.strictObject({
  name,
  layers: positive,
  versions: z.array(name).min(1),
  /** Served when a request names none; the last of `versions` by default. */
  defaultVersion: name.optional(),
  adapters: z.array(name).default([]),
  driver: z.enum(DriverKind).default(DriverKind.Stream),
  maximumTokens: positive.default(4096),
  objectives: objectivesSchema.optional()
})

const servedPartSchema = z.strictObject({
  model: name,
  version: name,
  adapters: z.array(name).default([]),
  /** Half-open: [from, to). */
  layers: z.tuple([z.number().int().min(0), positive])
})

const targetSchema = z.strictObject({
  name,
  address,
  failureDomain: name,
  accelerator: name,
  role: z.enum(EngineRole).default(EngineRole.Both),
  /** The engine refuses orders with an old fencing token. */
  checksFencing: z.boolean().default(false),
  /** Sessions that the target runs at once. */
  capacity: positive.default(16),
  /** Tokens a second that the stage makes at full capacity. */
  tokensPerSecond: z.number().positive().default(100),
  serves: z.array(servedPartSchema)
})

const operationSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service; `*` stands for one segment. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
  claim: z.enum(ClaimKind).default(ClaimKind.Keyed),
  /** How long an outcome is kept for its key. */
  retentionSeconds: positive.default(86_400),
  /** Orders a second that the operators expect; used to check the size of the claims. */
  expectedPerSecond: z.number().positive().default(0.1)
})

const serviceSchema = z.strictObject({
  name,
  targets: z.array(z.strictObject({ name, address, failureDomain: name, capacity: positive.default(64) })),
  operations: z.array(operationSchema).min(1),
  maximumBodyBytes: positive.default(262_144),
  maximumResponseBytes: positive.default(1_048_576),
  timeoutMilliseconds: positive.default(10_000),
  /** The balancer in front never repeats a request by itself. */
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
  concurrentRequests: positive.optional(),
  /** Names of models; all when absent. */
  models: z.array(name).optional(),
  /** Names of services; all when absent. */
  services: z.array(name).optional(),
  /** Where the workspace is served; everywhere when absent. */
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
  routing: z.strictObject({ lean: z.enum(RoutingLean).default(RoutingLean.Balanced) }).default({ lean: RoutingLean.Balanced })
})

/** A whole manifest with its defaults filled in. */
export type Manifest = z.infer<typeof manifestSchema>
/** A model of the manifest. */
export type ManifestModel = z.infer<typeof modelSchema>
/** A target (model engine) of the manifest. */
export type ManifestTarget = z.infer<typeof targetSchema>
/** A part of a model that a target is declared to serve. */
export type ManifestPart = z.infer<typeof servedPartSchema>
/** A plain service of the manifest. */
export type ManifestService = z.infer<typeof serviceSchema>
/** An operation of a plain service. */
export type ManifestOperation = z.infer<typeof operationSchema>
/** A workspace of the manifest. */
export type ManifestWorkspace = z.infer<typeof workspaceSchema>
/** A link between two failure domains. */
export type ManifestLink = z.infer<typeof linkSchema>
/** Service-level objectives. */
export type ManifestObjectives = z.infer<typeof objectivesSchema>
