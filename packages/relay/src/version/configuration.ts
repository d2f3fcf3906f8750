/**
 * What operators declare: routes, services, workspaces and limits, of one version. Decoded by the adapter of a deployment.
 */

/** How often one attempt of a caller may run. */
export enum RepeatRule {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  AtMostOnce = 'at-most-once'
}

/** What an answer looks like. */
export enum AnswerForm {
  /** One body, passed on once it is whole. */
  Whole = 'whole',
  /** A series of numbered events, passed on one by one. */
  Events = 'events'
}

/** A service that a route leads to. */
export interface WeightedService {
  name: string
  /** Relative share of the route's requests. */
  weight: number
}

/** One route. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  repeat: RepeatRule
  form: AnswerForm
  /** Whether a broken series of events may be continued by another run after the last event. */
  isResumable: boolean
  services: WeightedService[]
  /** Most targets to which one attempt of a caller may be sent. */
  maximumTargets: number
  timeoutMilliseconds: number
  /** Time to the answer, or to its first event, within which it is on time. */
  targetLatencyMilliseconds: number
  /** Longest pause between two events of an answer that is on time; absent for whole answers. */
  targetPauseMilliseconds?: number
  /** 0 is the most urgent. */
  priority: number
  /** Whether callers need no key. */
  isAnonymous: boolean
}

/** Accelerator memory and speed of one kind of target. */
export interface AcceleratorKind {
  memoryMegabytes: number
  /** Factor on the time of a token step. */
  stepFactor: number
  /** Factor on the time of reading prompts. */
  readFactor: number
}

/** Costs of the engines behind a service. */
export interface EngineProfile {
  /** Layers of the model; 1 where a target always holds the whole model. */
  layers: number
  layerMegabytes: number
  /** Memory of one token of a request over all layers, bytes. */
  tokenBytes: number
  /** Tokens that one target with the whole model has room for; used where kinds are absent. */
  tokensOfWholeTarget: number
  kinds: ReadonlyMap<string, AcceleratorKind>
  stepMilliseconds: number
  /** Added to a step for each request that is writing. */
  stepPerRequestMilliseconds: number
  readTokensPerSecond: number
  /** Requests that the first stage of a path takes at once; further ones wait there, and are refused beyond a few. */
  requestsAtOnce: number
  /** Bytes handed from stage to stage for each token. */
  activationBytes: number
  /** Rate of the link between two failure domains, which all paths that cross there share, megabits a second. */
  crossingMegabitsPerSecond: number
  /** Load time of the whole model, milliseconds. */
  loadMilliseconds: number
  reportLagMilliseconds: number
  /** Tokens of one event of an answer. */
  tokensPerEvent: number
  usualPromptTokens: number
  usualAnswerTokens: number
}

/** One service. */
export interface Service {
  name: string
  healthPath: string
  maximumConnections: number
  /** Absent for plain services. */
  engine?: EngineProfile
}

/** A customer to whom keys belong. */
export interface Workspace {
  name: string
  /** Goes before the route's priority. */
  priority?: number
}

/** Bounds on what callers send. */
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
  /** Workspaces by the digest of each of their keys; absent where callers need no keys. */
  workspacesByKeyDigest?: ReadonlyMap<string, Workspace>
}
