/**
 * Finds what a set of planned stops leaves unserved: a model version without a path, a service without a target, a failure domain
 * without an entry VM.
 */
import { StopSubject, VmState, listCoverageFaults, type Manifest, type PlannedStop, type VmEntry } from '@wigeonlead/protocol'

/** Returns a message for each version, adapter, service or failure domain that is unserved while all of these stops are under way. */
export function listCoverageLosses (manifest: Manifest, stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): string[] {
  const isStopped = createStoppedCheck(stops, vms)
  const remaining: Manifest = {
    ...manifest,
    targets: manifest.targets.filter(target => !isStopped(target)),
    services: manifest.services.map(service => ({ ...service, targets: service.targets.filter(target => !isStopped(target)) }))
  }
  return [
    ...listCoverageFaults(remaining).map(fault => fault.message),
    ...remaining.services.filter(service => service.targets.length === 0).map(service => `no target of service "${service.name}" is left`),
    ...listDomainsWithoutEntryVm(stops, vms)
  ].map(loss => `takes the last replica away: ${loss}`)
}

function listDomainsWithoutEntryVm (stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): string[] {
  const stoppedVms = new Set(stops.filter(stop => stop.subject === StopSubject.Vm).map(stop => stop.name))
  const entryVms = vms.filter(vm => vm.peerPort !== undefined)
  const affected = new Set(entryVms.filter(vm => stoppedVms.has(vm.name)).map(vm => vm.failureDomain))
  return [...affected]
    .filter(domain => !entryVms.some(vm => vm.failureDomain === domain && vm.state === VmState.Live && !stoppedVms.has(vm.name)))
    .map(domain => `no entry VM of failure domain "${domain}" is left`)
}

function createStoppedCheck (stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): (target: { name: string, address: string }) => boolean {
  const stoppedTargets = new Set(stops.filter(stop => stop.subject === StopSubject.Target).map(stop => stop.name))
  const stoppedVms = new Set(stops.filter(stop => stop.subject === StopSubject.Vm).map(stop => stop.name))
  const stoppedAddresses = new Set(vms.filter(vm => stoppedVms.has(vm.name) && vm.peerPort === undefined).map(vm => vm.address))
  return target => stoppedTargets.has(target.name) || stoppedAddresses.has(target.address.slice(0, target.address.lastIndexOf(':')))
}
