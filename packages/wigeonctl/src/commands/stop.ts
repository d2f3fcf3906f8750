/**
 * `wigeonctl stop plan | cancel | list`: planned stops of targets and VMs. Each change is one compare-and-swap of the configuration head.
 */
import {
  PublishResult, StopSubject, changeHead, describeFailure, readHead,
  type ConfigurationHead, type Manifest, type PlannedStop, type VmEntry
} from '@wigeonlead/protocol'
import { readConfiguration } from '../configuration.js'
import { parseTime } from '../times.js'
import { ExitCode, failureOutput, invalidArguments, type CommandOutput, type ToolPorts } from '../tool.js'
import { renderPublishOutcome } from './publish.js'
import { listCoverageLosses } from './stop-losses.js'

/** The target or VM to stop and the times, as written on the command line. */
export interface StopArguments {
  target?: string
  vm?: string
  /** Start of the stop; now if absent. */
  from?: string
  until?: string
}

/** How long a stop stays in the head after its end. */
const ENDED_STOP_RETENTION_MILLISECONDS = 86_400_000

/** Checks a stop and adds it to the head. Losses of coverage are warnings and don't prevent the stop. */
export async function planStopCommand (ports: ToolPorts, args: StopArguments): Promise<CommandOutput> {
  const requested = readStop(args, Date.now())
  if ('faults' in requested) return invalidArguments(requested.faults)
  const read = await readConfiguration(ports.keyValue)
  if (!read.ok) return failureOutput(read.failure)
  const { head, manifest } = read.value
  if (head === undefined || manifest === undefined) return invalidArguments(['no manifest is in force, so nothing can be stopped'])
  const vms = ports.vmList === undefined ? undefined : await ports.vmList.list()
  const checked = checkRequestedStop(requested, manifest, head, vms?.ok === true ? vms.value : undefined)
  if (checked.faults.length > 0) return invalidArguments(checked.faults)
  const warnings = [...checked.warnings]
  if (vms?.ok === false) warnings.push(`the VM list could not be read: ${describeFailure(vms.failure)}`)
  const stop: PlannedStop = { ...requested, id: `stop-${ports.random.nextNonce().slice(0, 8)}` }
  const outcome = await changeHead(ports.keyValue, ports.random, before => ({ ...before, stops: [...dropOldStops(before.stops), stop] }))
  if (outcome.kind === PublishResult.Accepted) warnings.push(...listConcurrentChanges(head, outcome.head, stop))
  return addStopToOutput(renderPublishOutcome(outcome), 'planned', stop, warnings)
}

/** Removes a planned stop from the head. */
export async function cancelStopCommand (ports: ToolPorts, id: string): Promise<CommandOutput> {
  const read = await readHead(ports.keyValue)
  if (!read.ok) return failureOutput(read.failure)
  const stops = read.value.head?.stops ?? []
  const stop = stops.find(each => each.id === id)
  if (stop === undefined) return invalidArguments([`found no stop "${id}", wanted one of: ${stops.map(each => each.id).join(', ') || '(none is planned)'}`])
  const outcome = await changeHead(ports.keyValue, ports.random, before => ({
    ...before, stops: dropOldStops(before.stops).filter(each => each.id !== id)
  }))
  return addStopToOutput(renderPublishOutcome(outcome), 'cancelled', stop, [])
}

/** Lists the stops in the head by start time. */
export async function listStopsCommand (ports: ToolPorts): Promise<CommandOutput> {
  const read = await readHead(ports.keyValue)
  if (!read.ok) return failureOutput(read.failure)
  const stops = [...read.value.head?.stops ?? []].sort((left, right) => left.fromMilliseconds - right.fromMilliseconds)
  const text = stops.length === 0 ? 'no stop is planned' : stops.map(stop => describeStop(stop, Date.now())).join('\n')
  return { code: ExitCode.Success, text, value: { generation: read.value.head?.generation ?? 0, stops } }
}

type RequestedStop = Omit<PlannedStop, 'id'>

function readStop (args: StopArguments, now: number): RequestedStop | { faults: string[] } {
  const faults: string[] = []
  if ((args.target === undefined) === (args.vm === undefined)) faults.push('found both or none of --target and --vm, wanted exactly one')
  const from = args.from === undefined ? now : parseTime(args.from, now)
  const until = args.until === undefined ? undefined : parseTime(args.until, now)
  const wantedTime = 'wanted ISO 8601 such as 2030-05-01T14:00:00Z, or +5m, +2h'
  if (from === undefined) faults.push(`--from: found "${args.from}", ${wantedTime}`)
  if (until === undefined) faults.push(`--until: found ${args.until === undefined ? 'nothing' : `"${args.until}"`}, ${wantedTime}`)
  if (until !== undefined && until <= now) faults.push(`--until: found ${formatTime(until)}, wanted a time in the future`)
  if (from !== undefined && until !== undefined && until <= from) faults.push(`--until: found ${formatTime(until)}, wanted a time after --from, ${formatTime(from)}`)
  if (faults.length > 0 || from === undefined || until === undefined) return { faults }
  const subject = args.target === undefined ? StopSubject.Vm : StopSubject.Target
  return { subject, name: args.target ?? args.vm ?? '', fromMilliseconds: from, untilMilliseconds: until }
}

function checkRequestedStop (
  requested: RequestedStop, manifest: Manifest, head: ConfigurationHead, vms: VmEntry[] | undefined
): { faults: string[], warnings: string[] } {
  const faults: string[] = []
  const warnings: string[] = []
  if (requested.subject === StopSubject.Target) {
    const names = [...manifest.targets, ...manifest.services.flatMap(service => service.targets)].map(target => target.name)
    if (!names.includes(requested.name)) faults.push(`--target: found "${requested.name}", wanted a target of the manifest in force (generation ${head.generation})`)
  } else if (vms === undefined) {
    warnings.push(`whether VM "${requested.name}" exists was not checked: name the VM list with --vm-list`)
  } else if (!vms.some(vm => vm.name === requested.name)) {
    faults.push(`--vm: found "${requested.name}", wanted a VM of the VM list`)
  }
  const conflicting = head.stops.find(stop => isSameSubject(stop, requested) && overlaps(stop, requested))
  if (conflicting !== undefined) faults.push(`${requested.subject} "${requested.name}" already has a stop that overlaps in time: ${conflicting.id}; cancel it first`)
  warnings.push(...listCoverageLosses(manifest, [requested, ...head.stops.filter(stop => overlaps(stop, requested))], vms ?? []))
  return { faults, warnings }
}

function listConcurrentChanges (checked: ConfigurationHead, accepted: ConfigurationHead, stop: PlannedStop): string[] {
  const isChanged = accepted.generation !== checked.generation + 1
  const conflicts = accepted.stops.filter(each => each.id !== stop.id && isSameSubject(each, stop) && overlaps(each, stop))
  return [
    ...(isChanged ? [`the configuration changed from generation ${checked.generation} to ${accepted.generation - 1} in the meantime; the checks used the older one`] : []),
    ...conflicts.filter(conflict => !checked.stops.some(each => each.id === conflict.id)).map(conflict => `another operator planned ${conflict.id} for the same ${stop.subject} in the meantime`)
  ]
}

function dropOldStops (stops: PlannedStop[]): PlannedStop[] {
  const oldest = Date.now() - ENDED_STOP_RETENTION_MILLISECONDS
  return stops.filter(stop => stop.untilMilliseconds > oldest)
}

function isSameSubject (left: RequestedStop, right: RequestedStop): boolean {
  return left.subject === right.subject && left.name === right.name
}

function overlaps (left: RequestedStop, right: RequestedStop): boolean {
  return left.fromMilliseconds < right.untilMilliseconds && right.fromMilliseconds < left.untilMilliseconds
}

function addStopToOutput (output: CommandOutput, action: string, stop: PlannedStop, warnings: string[]): CommandOutput {
  const result = output.code === ExitCode.Success ? action : `not confirmed as ${action}`
  const lines = [`${result} ${stop.id}: ${stop.subject} ${stop.name}, ${formatTime(stop.fromMilliseconds)} to ${formatTime(stop.untilMilliseconds)}`]
  const text = [output.text, ...lines, ...warnings.map(warning => `warning: ${warning}`)].join('\n')
  return { ...output, text, value: { ...output.value as object, stop, warnings } }
}

function describeStop (stop: PlannedStop, now: number): string {
  const phase = now < stop.fromMilliseconds ? 'planned' : now < stop.untilMilliseconds ? 'under way' : 'over'
  return `${stop.id}  ${phase.padEnd(9)}  ${stop.subject} ${stop.name}, ${formatTime(stop.fromMilliseconds)} to ${formatTime(stop.untilMilliseconds)}`
}

function formatTime (milliseconds: number): string {
  return new Date(milliseconds).toISOString()
}
