/**
 * `wigeonctl stop plan | cancel | list`: planned stops of targets and entry VMs, each one compare-and-swap of the head.
 */
import {
  PublishResult, StopSubject, changeHead, describeFailure, readHead,
  type ConfigurationHead, type Manifest, type PlannedStop, type VmEntry
} from '@wigeonlead/protocol'
import { readConfiguration } from '../configuration.js'
import { readTime } from '../times.js'
import { ExitCode, failedOutput, faultyArguments, type CommandOutput, type ToolPorts } from '../tool.js'
import { renderPublish } from './publish.js'
import { listLosses } from './stop-losses.js'

/** What is to be stopped and when, as written on the command line. */
export interface StopArguments {
  target?: string
  vm?: string
  /** Now when absent. */
  from?: string
  until?: string
}

/** How long a stop that is over is kept in the head. */
const OVER_KEPT_MILLISECONDS = 86_400_000

/** Plans a stop. */
export async function planStopCommand (ports: ToolPorts, given: StopArguments): Promise<CommandOutput> {
  const asked = readStop(given, Date.now())
  if ('faults' in asked) return faultyArguments(asked.faults)
  const read = await readConfiguration(ports.keyValue)
  if (!read.ok) return failedOutput(read.failure)
  const { head, manifest } = read.value
  if (head === undefined || manifest === undefined) return faultyArguments(['no manifest is in force, so nothing can be stopped'])
  const vms = ports.vmList === undefined ? undefined : await ports.vmList.list()
  const checked = checkSubject(asked, manifest, head, vms?.ok === true ? vms.value : undefined)
  if (checked.faults.length > 0) return faultyArguments(checked.faults)
  const warnings = [...checked.warnings]
  if (vms?.ok === false) warnings.push(`the VM list could not be read: ${describeFailure(vms.failure)}`)
  const stop: PlannedStop = { ...asked, id: `stop-${ports.random.nextNonce().slice(0, 8)}` }
  const outcome = await changeHead(ports.keyValue, ports.random, before => ({ ...before, stops: [...keepCurrent(before.stops), stop] }))
  if (outcome.kind === PublishResult.Accepted) warnings.push(...listChangesMeanwhile(head, outcome.head, stop))
  return withStop(renderPublish(outcome), 'planned', stop, warnings)
}

/** Cancels a planned stop. */
export async function cancelStopCommand (ports: ToolPorts, id: string): Promise<CommandOutput> {
  const read = await readHead(ports.keyValue)
  if (!read.ok) return failedOutput(read.failure)
  const stops = read.value.head?.stops ?? []
  const stop = stops.find(each => each.id === id)
  if (stop === undefined) return faultyArguments([`found no stop "${id}", wanted one of: ${stops.map(each => each.id).join(', ') || '(none is planned)'}`])
  const outcome = await changeHead(ports.keyValue, ports.random, before => ({
    ...before, stops: keepCurrent(before.stops).filter(each => each.id !== id)
  }))
  return withStop(renderPublish(outcome), 'cancelled', stop, [])
}

/** Lists the planned stops. */
export async function listStopsCommand (ports: ToolPorts): Promise<CommandOutput> {
  const read = await readHead(ports.keyValue)
  if (!read.ok) return failedOutput(read.failure)
  const stops = [...read.value.head?.stops ?? []].sort((left, right) => left.fromMilliseconds - right.fromMilliseconds)
  const text = stops.length === 0 ? 'no stop is planned' : stops.map(stop => describeStop(stop, Date.now())).join('\n')
  return { code: ExitCode.Done, text, value: { generation: read.value.head?.generation ?? 0, stops } }
}

type AskedStop = Omit<PlannedStop, 'id'>

function readStop (given: StopArguments, now: number): AskedStop | { faults: string[] } {
  const faults: string[] = []
  if ((given.target === undefined) === (given.vm === undefined)) faults.push('found both or none of --target and --vm, wanted exactly one')
  const from = given.from === undefined ? now : readTime(given.from, now)
  const until = given.until === undefined ? undefined : readTime(given.until, now)
  const wantedTime = 'wanted ISO 8601 such as 2030-05-01T14:00:00Z, or +5m, +2h'
  if (from === undefined) faults.push(`--from: found "${given.from}", ${wantedTime}`)
  if (until === undefined) faults.push(`--until: found ${given.until === undefined ? 'nothing' : `"${given.until}"`}, ${wantedTime}`)
  if (until !== undefined && until <= now) faults.push(`--until: found ${isoTime(until)}, wanted a time to come`)
  if (from !== undefined && until !== undefined && until <= from) faults.push(`--until: found ${isoTime(until)}, wanted a time after --from, ${isoTime(from)}`)
  if (faults.length > 0 || from === undefined || until === undefined) return { faults }
  const subject = given.target === undefined ? StopSubject.Vm : StopSubject.Target
  return { subject, name: given.target ?? given.vm ?? '', fromMilliseconds: from, untilMilliseconds: until }
}

function checkSubject (
  asked: AskedStop, manifest: Manifest, head: ConfigurationHead, vms: VmEntry[] | undefined
): { faults: string[], warnings: string[] } {
  const faults: string[] = []
  const warnings: string[] = []
  if (asked.subject === StopSubject.Target) {
    const names = [...manifest.targets, ...manifest.services.flatMap(service => service.targets)].map(target => target.name)
    if (!names.includes(asked.name)) faults.push(`--target: found "${asked.name}", wanted a target of the manifest in force (generation ${head.generation})`)
  } else if (vms === undefined) {
    warnings.push(`whether VM "${asked.name}" exists was not checked: name the VM list with --vm-list`)
  } else if (!vms.some(vm => vm.name === asked.name)) {
    faults.push(`--vm: found "${asked.name}", wanted a VM of the list`)
  }
  const twin = head.stops.find(stop => isSameSubject(stop, asked) && overlaps(stop, asked))
  if (twin !== undefined) faults.push(`${asked.subject} "${asked.name}" stops in that time already: ${twin.id}; cancel it first`)
  warnings.push(...listLosses(manifest, [asked, ...head.stops.filter(stop => overlaps(stop, asked))], vms ?? []))
  return { faults, warnings }
}

function listChangesMeanwhile (checked: ConfigurationHead, accepted: ConfigurationHead, stop: PlannedStop): string[] {
  const changed = accepted.generation !== checked.generation + 1
  const twins = accepted.stops.filter(each => each.id !== stop.id && isSameSubject(each, stop) && overlaps(each, stop))
  return [
    ...(changed ? [`the configuration went from generation ${checked.generation} to ${accepted.generation - 1} meanwhile; the checks saw the older one`] : []),
    ...twins.filter(twin => !checked.stops.some(each => each.id === twin.id)).map(twin => `another operator planned ${twin.id} for the same ${stop.subject} meanwhile`)
  ]
}

function keepCurrent (stops: PlannedStop[]): PlannedStop[] {
  const oldest = Date.now() - OVER_KEPT_MILLISECONDS
  return stops.filter(stop => stop.untilMilliseconds > oldest)
}

function isSameSubject (left: AskedStop, right: AskedStop): boolean {
  return left.subject === right.subject && left.name === right.name
}

function overlaps (left: AskedStop, right: AskedStop): boolean {
  return left.fromMilliseconds < right.untilMilliseconds && right.fromMilliseconds < left.untilMilliseconds
}

function withStop (output: CommandOutput, done: string, stop: PlannedStop, warnings: string[]): CommandOutput {
  const result = output.code === ExitCode.Done ? done : `not certainly ${done}`
  const lines = [`${result} ${stop.id}: ${stop.subject} ${stop.name}, ${isoTime(stop.fromMilliseconds)} to ${isoTime(stop.untilMilliseconds)}`]
  const text = [output.text, ...lines, ...warnings.map(warning => `warning: ${warning}`)].join('\n')
  return { ...output, text, value: { ...output.value as object, stop, warnings } }
}

function describeStop (stop: PlannedStop, now: number): string {
  const phase = now < stop.fromMilliseconds ? 'planned' : now < stop.untilMilliseconds ? 'under way' : 'over'
  return `${stop.id}  ${phase.padEnd(9)}  ${stop.subject} ${stop.name}, ${isoTime(stop.fromMilliseconds)} to ${isoTime(stop.untilMilliseconds)}`
}

function isoTime (milliseconds: number): string {
  return new Date(milliseconds).toISOString()
}
