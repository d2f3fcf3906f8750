/**
 * Exports of the modules whose state lasts as long as the process.
 */
export { LogEvent, SILENT_LOGGER, createLogger, renderLine, type LogFields, type Logger } from './logging.js'
export { createMetrics, type MetricLabels, type Metrics } from './metrics.js'
export { createSeededRandom, createSystemRandom } from './random.js'
export { serveRouter, type RunningRouter } from './serve.js'
export { checkSettings, readSettings, settingsSchema, type Settings, type SettingsCheck, type SettingsInput } from './settings.js'
export { TargetAvailability, createTargetTracker, type TargetTracker } from './targets.js'
export { createConfiguration, type Configuration } from './configuration/index.js'
export { createMembership, type DemandShare, type Membership, type MembershipOptions } from './membership/index.js'
export { RequestEnd, createBurnTracker, type BurnTracker, type BurnMeter, type BurnResource } from './burn.js'
export { createRouter, type PathPolicyDependencies, type Router, type RouterOptions, type RouterPorts } from './wire.js'
