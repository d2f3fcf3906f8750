/**
 * The operators' commands as functions, for the quickstart and the tests.
 */
export { ExitCode, type CommandOutput, type ToolPorts } from './tool.js'
export { checkCommand } from './commands/check.js'
export { publishCommand, renderPublish } from './commands/publish.js'
