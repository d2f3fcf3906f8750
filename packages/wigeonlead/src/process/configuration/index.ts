/**
 * The configuration in force at a node, and how it gets there.
 */
export { createConfiguration, type Configuration, type ConfigurationParts } from './configuration.js'
