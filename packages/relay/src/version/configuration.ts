/**
 * One version of the configuration that operators declare: routes, services, workspaces and limits. The deployment's adapter decodes it.
 */

/** Whether one attempt of a caller may run more than once. */
export enum RepeatRule {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  AtMostOnce = 'at-most-once'
}

/** Form of an answer. */
export enum AnswerForm {
  /** One body, forwarded once it is complete. */
  SingleBody = 'whole',
  /** A series of numbered events, forwarded one by one. */
  Events = 'events'
}

/** A service to which a route sends requests. */
export interface WeightedService {
  name: string
  /** Relative share of the route's requests. */
  weight: number
}

/** A route: maps a host and path prefix to services, with the rules for its requests. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  repeat: RepeatRule
  form: AnswerForm
  /** Whether another run may continue a broken series of events after its last event. */
  isResumable: boolean
  services: WeightedService[]
  /** Maximum number of targets to which one attempt of a caller may be sent. */
  maximumTargets: number
  timeoutMilliseconds: number
  /** Latency objective for the answer, or for its first event if it is a series of events. */
  latencyObjectiveMilliseconds: number
  /** Objective for the longest pause between two events of an answer; absent for answers of one body. */
  pauseObjectiveMilliseconds?: number
  /** 0 is the highest priority. */
  priority: number
  /** Whether callers may omit the API key. */
  isAnonymous: boolean
}

/** Memory and speed of one kind of accelerator. */
export interface AcceleratorKind {
  /** 0 if unknown. */
  memoryMegabytes: number
  /** Factor on the time of a token step. */
  stepFactor: number
  /** Factor on the time for the prefill of prompts. */
  prefillFactor: number
}

/** Capacity and speed of the engines behind a service. */
export interface EngineProfile {
  /** Number of layers of the model; 1 where each target holds the whole model. */
  layers: number
  /** Memory of one layer; 0 if unknown. */
  layerMegabytes: number
  /** Memory that the KV cache needs for one token of a request over all layers; 0 if unknown. */
  kvBytesPerToken: number
  /** Capacity in tokens of a target that holds the whole model; used if the memory of the accelerator or of a layer is unknown. */
  wholeModelTokenCapacity: number
  acceleratorKinds: ReadonlyMap<string, AcceleratorKind>
  /** Time of one decoding step over all layers, which generates one token. */
  stepMilliseconds: number
  /** Time that each request in flight adds to a decoding step. */
  stepPerRequestMilliseconds: number
  /** Time that each 1,000 tokens of context of the requests in flight add to a decoding step; absent if it is none. */
  contextStepMilliseconds?: number
  prefillTokensPerSecond: number
  /** Requests that the first stage of a path runs concurrently; it queues a few more and refuses the rest. */
  maximumConcurrentRequests: number
  /** Bytes that each stage sends to the next for each token. */
  activationBytes: number
  /** Bandwidth of the link between two failure domains, shared by all paths across it, megabits per second. */
  crossingMegabitsPerSecond: number
  /** Time to load the whole model, milliseconds. */
  loadMilliseconds: number
  reportLagMilliseconds: number
  /** Number of loads of weights that may run at the same time, over all targets, before each one takes longer. */
  concurrentLoads: number
  /** Tokens in one event of an answer. */
  tokensPerEvent: number
  usualPromptTokens: number
  usualAnswerTokens: number
}

/** A service: a set of targets that serve the same requests. */
export interface Service {
  name: string
  healthPath: string
  maximumConnections: number
  /** Absent for plain services. */
  engine?: EngineProfile
}

/** A customer that owns API keys. */
export interface Workspace {
  name: string
  /** Overrides the route's priority. */
  priority?: number
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMilliseconds: number
  idleTimeoutMilliseconds: number
}

/** One version of the configuration. */
export interface RelayConfiguration {
  version: number
  routes: Route[]
  services: ReadonlyMap<string, Service>
  limits: CallerLimits
  /** Maps the digest of each API key to its workspace; absent where callers need no keys. */
  workspacesByKeyDigest?: ReadonlyMap<string, Workspace>
}
