/**
 * The router as a library: creates routers from settings and ports, for tests and other programs. A node is one router process on an
 * entry VM; "this entry VM" and "the router" mean the node too.
 */
export {
  SILENT_LOGGER, checkSettings, createLogger, createRouter, createSeededRandom, createSystemRandom, readSettings, serveRouter,
  settingsSchema,
  type Logger, type PathPolicyDependencies, type Router, type RouterOptions, type RouterPorts, type RunningRouter, type Settings,
  type SettingsCheck, type SettingsInput
} from './process/index.js'
export { ClaimResult, createClaims, type ClaimOutcome, type ClaimedOrder, type Claims, type ClaimsDependencies } from './request/claims/index.js'
export { pause, pauseInBackground } from './process/pause.js'
export { createMetrics, type MetricLabels, type Metrics } from './process/metrics.js'
export { createPathChooser } from './request/index.js'
export type { CallerHandler, CallerRequest, CallerResponse, PathChooser, PathQuery, PathRun } from './request/index.js'
export type { CompiledVersion, StageOption } from './version/index.js'
export { createHttpEngines, createHttpPeers, createHttpServices, type HttpPeers } from './connection/index.js'
