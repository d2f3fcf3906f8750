/**
 * The relay: forwards callers' requests unchanged to targets, or over paths of stages.
 */
export * from './version/index.js'
export * from './connection/index.js'
export * from './process/index.js'
