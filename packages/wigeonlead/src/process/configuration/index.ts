/**
 * The configuration in force at a node: how the node learns, verifies and repairs it.
 */
export { createConfiguration, type Configuration, type ConfigurationOptions } from './configuration.js'
