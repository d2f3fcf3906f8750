/**
 * Exports the operators' commands as functions, for the quickstart and the tests.
 */
export { ExitCode, type CommandOutput, type ToolPorts } from './tool.js'
export { checkCommand } from './commands/check.js'
export { publishCommand, renderPublishOutcome } from './commands/publish.js'
export { cancelStopCommand, listStopsCommand, planStopCommand, type StopArguments } from './commands/stop.js'
export { quarantineCommand, type LiftedContent } from './commands/quarantine.js'
export { domainsCommand } from './commands/domains.js'
export { routeCommand, type RouteArguments } from './commands/route.js'
export { fleetCommand, type RelayState } from './commands/fleet.js'
export { statusCommand, type NotInForce } from './commands/status.js'
export { BurnState, mergeReports, reportCommand, type FleetBurn, type FleetReport } from './commands/report.js'
export { renderReportPage } from './commands/report-page.js'
export { type RouterQuery } from './routers.js'
