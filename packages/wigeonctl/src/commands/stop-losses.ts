/**
 * What a set of stops takes away: the last path of a model version, the last target of a service, the last entry VM of a
 * failure domain.
 */
import { StopSubject, VmState, listCoverageFaults, type Manifest, type PlannedStop, type VmEntry } from '@wigeonlead/protocol'

/** Lists what nothing serves any more while all of these stops are under way. */
export function listLosses (manifest: Manifest, stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): string[] {
  const isStopped = createStopTest(stops, vms)
  const rest: Manifest = {
    ...manifest,
    targets: manifest.targets.filter(target => !isStopped(target)),
    services: manifest.services.map(service => ({ ...service, targets: service.targets.filter(target => !isStopped(target)) }))
  }
  return [
    ...listCoverageFaults(rest).map(fault => fault.message),
    ...rest.services.filter(service => service.targets.length === 0).map(service => `no target of service "${service.name}" is left`),
    ...listEmptyDomains(stops, vms)
  ].map(loss => `takes the last replica away: ${loss}`)
}

function listEmptyDomains (stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): string[] {
  const stopped = new Set(stops.filter(stop => stop.subject === StopSubject.Vm).map(stop => stop.name))
  const entryVms = vms.filter(vm => vm.peerPort !== undefined)
  const hit = new Set(entryVms.filter(vm => stopped.has(vm.name)).map(vm => vm.failureDomain))
  return [...hit].filter(domain => !entryVms.some(vm => vm.failureDomain === domain && vm.state === VmState.Live && !stopped.has(vm.name)))
    .map(domain => `no entry VM of failure domain "${domain}" is left`)
}

function createStopTest (stops: Array<Omit<PlannedStop, 'id'>>, vms: VmEntry[]): (target: { name: string, address: string }) => boolean {
  const targets = new Set(stops.filter(stop => stop.subject === StopSubject.Target).map(stop => stop.name))
  const stoppedVms = new Set(stops.filter(stop => stop.subject === StopSubject.Vm).map(stop => stop.name))
  const addresses = new Set(vms.filter(vm => stoppedVms.has(vm.name) && vm.peerPort === undefined).map(vm => vm.address))
  return target => targets.has(target.name) || addresses.has(target.address.slice(0, target.address.lastIndexOf(':')))
}
